package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// lookupTimeout limits one look-up.
const lookupTimeout = 2 * time.Second

// entryVM is one entry VM of a look-up answer.
type entryVM struct {
	VM        string `json:"vm"`
	Address   string `json:"address"`
	KeyPrefix string `json:"keyPrefix"`
}

// lookupAnswer is the response body of GET /v1/lookup.
type lookupAnswer struct {
	Place    string    `json:"place"`
	EntryVMs []entryVM `json:"entryVMs"`
	TTLMs    int64     `json:"ttlMs"`
}

// lookupCache caches look-up answers for their time to live.
type lookupCache struct {
	client    *http.Client
	bootstrap []string
	phase     float64

	mu      sync.Mutex
	cached  map[string]cachedAnswer
	next    int
	lookups int
}

type cachedAnswer struct {
	answer  lookupAnswer
	expires time.Time
}

func newLookupCache(client *http.Client, bootstrap []string, phase float64) *lookupCache {
	return &lookupCache{client: client, bootstrap: bootstrap, phase: phase, cached: map[string]cachedAnswer{}}
}

// entries returns the entry VMs to use for a service, best first, from the cache or
// by a look-up.
func (b *lookupCache) entries(ctx context.Context, service string) ([]entryVM, error) {
	b.mu.Lock()
	p, ok := b.cached[service]
	b.mu.Unlock()
	now := time.Now()
	if ok && now.Before(p.expires) {
		return p.answer.EntryVMs, nil
	}
	answer, err := b.lookUp(ctx, service)
	if err != nil && ok {
		// An expired answer is better than none if no entry VM answers the look-up.
		return p.answer.EntryVMs, nil
	}
	if err != nil {
		return nil, err
	}
	ttl := time.Duration(answer.TTLMs) * time.Millisecond
	if !ok {
		ttl = time.Duration(float64(ttl) * (1 - b.phase))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached[service] = cachedAnswer{answer: answer, expires: now.Add(ttl)}
	return answer.EntryVMs, nil
}

// invalidate removes the answer for a service, so that the next request looks it up
// again.
func (b *lookupCache) invalidate(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cached, service)
}

// lookUp sends a look-up to the bootstrap entry VMs in turn until one answers.
func (b *lookupCache) lookUp(ctx context.Context, service string) (lookupAnswer, error) {
	var last error
	for range b.bootstrap {
		answer, err := b.lookUpAt(ctx, b.nextBootstrap(), service)
		if err == nil {
			return answer, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return lookupAnswer{}, errors.Wrap(last, "caller: no entry VM answered the look-up; check the addresses given")
}

func (b *lookupCache) nextBootstrap() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	address := b.bootstrap[b.next%len(b.bootstrap)]
	b.next++
	b.lookups++
	return address
}

func (b *lookupCache) lookUpAt(ctx context.Context, address, service string) (lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := "http://" + address + "/v1/lookup?service=" + url.QueryEscape(service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return lookupAnswer{}, err
	}
	reply, err := b.client.Do(r)
	if err != nil {
		return lookupAnswer{}, err
	}
	defer drain(reply.Body)
	if reply.StatusCode != http.StatusOK {
		return lookupAnswer{}, fmt.Errorf("look-up at %s: status %d (%s)", address, reply.StatusCode, reply.Header.Get(headerReason))
	}
	var answer lookupAnswer
	if err := json.NewDecoder(reply.Body).Decode(&answer); err != nil {
		return lookupAnswer{}, errors.Wrap(err, "decode the look-up answer")
	}
	if len(answer.EntryVMs) == 0 {
		return lookupAnswer{}, fmt.Errorf("look-up at %s: no entry VM for %s", address, service)
	}
	return answer, nil
}
