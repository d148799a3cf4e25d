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

// lookupTimeout bounds one look-up.
const lookupTimeout = 2 * time.Second

// entryVM is one entry VM of a look-up answer.
type entryVM struct {
	VM        string `json:"vm"`
	Address   string `json:"address"`
	KeyPrefix string `json:"keyPrefix"`
}

// lookupAnswer is the answer of GET /v1/lookup.
type lookupAnswer struct {
	Place    string    `json:"place"`
	EntryVMs []entryVM `json:"entryVMs"`
	TTLMs    int64     `json:"ttlMs"`
}

// book keeps look-up answers for their time to live.
type book struct {
	client    *http.Client
	bootstrap []string
	phase     float64

	mu      sync.Mutex
	pages   map[string]page
	next    int
	lookups int
}

type page struct {
	answer lookupAnswer
	until  time.Time
}

func newBook(client *http.Client, bootstrap []string, phase float64) *book {
	return &book{client: client, bootstrap: bootstrap, phase: phase, pages: map[string]page{}}
}

// entries returns the entry VMs to use for a service, best first.
func (b *book) entries(ctx context.Context, service string) ([]entryVM, error) {
	b.mu.Lock()
	p, ok := b.pages[service]
	b.mu.Unlock()
	now := time.Now()
	if ok && now.Before(p.until) {
		return p.answer.EntryVMs, nil
	}
	answer, err := b.ask(ctx, service)
	if err != nil && ok {
		// No entry VM answers a look-up: the old answer is better than none.
		return p.answer.EntryVMs, nil
	}
	if err != nil {
		return nil, err
	}
	keep := time.Duration(answer.TTLMs) * time.Millisecond
	if !ok {
		keep = time.Duration(float64(keep) * (1 - b.phase))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pages[service] = page{answer: answer, until: now.Add(keep)}
	return answer.EntryVMs, nil
}

// forget drops a service's answer, so that the next request looks up again.
func (b *book) forget(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pages, service)
}

// ask tries the known entry VMs in turn.
func (b *book) ask(ctx context.Context, service string) (lookupAnswer, error) {
	var last error
	for range b.bootstrap {
		answer, err := b.askOne(ctx, b.turn(), service)
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

func (b *book) turn() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	address := b.bootstrap[b.next%len(b.bootstrap)]
	b.next++
	b.lookups++
	return address
}

func (b *book) askOne(ctx context.Context, address, service string) (lookupAnswer, error) {
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
