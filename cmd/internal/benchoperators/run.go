package benchoperators

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

const (
	// askEvery is the pause between two questions to one entry VM.
	askEvery = 10 * time.Millisecond
	// patience bounds the wait for one change to be in force everywhere.
	patience = 30 * time.Second
	// watchWait is how long one poll of the watch waits.
	watchWait = 5 * time.Second
)

// bench is a measurement under way.
type bench struct {
	options Options
	client  *client.Client
	all     []*client.Client // one for each entry VM

	mu   sync.Mutex
	seen map[int64]time.Time // when the watch showed each version
}

// Run measures. The error is a *command.Error or a *client.Failure.
func Run(ctx context.Context, o Options) (*Report, error) {
	c, err := client.New(o.Client)
	if err != nil {
		return nil, err
	}
	b := &bench{options: o, client: c, seen: map[int64]time.Time{}}
	report, err := b.connect(ctx)
	if err != nil {
		return nil, err
	}
	object, err := b.create(ctx)
	if err != nil {
		return nil, err
	}
	defer b.remove(check.RefOf(object))
	if err := b.measure(ctx, object, report); err != nil {
		return nil, err
	}
	return report, nil
}

// connect finds every entry VM that takes part.
func (b *bench) connect(ctx context.Context) (*Report, error) {
	status, err := b.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		address, ok := m.OperatorAddress.Get()
		if m.State != oas.MemberStatusStateLive || !ok {
			continue
		}
		options := b.options.Client
		options.EntryVMs = []string{address}
		one, err := client.New(options)
		if err != nil {
			return nil, err
		}
		b.all = append(b.all, one)
	}
	if len(b.all) == 0 {
		return nil, command.Failf(command.Refused, "look at `heatherlock status`", "no live entry VM tells its operator address")
	}
	return &Report{EntryVMs: len(b.all), Zones: len(status.Zones)}, nil
}

func (b *bench) create(ctx context.Context) (oas.Object, error) {
	name := oas.ObjectName("bench-operators-" + strings.ToLower(rand.Text()[:8]))
	service := oas.Service{Kind: string(oas.KindService), Metadata: oas.Metadata{Name: name}}
	return b.client.Put(ctx, oas.NewServiceObject(service), client.WriteOptions{})
}

// remove takes the object away again, also when the measurement failed.
func (b *bench) remove(ref check.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if o, err := b.client.Get(ctx, ref); err == nil {
		_ = b.client.Delete(ctx, ref, check.MetadataOf(&o).Version.Or(0), client.WriteOptions{})
	}
}

func (b *bench) measure(ctx context.Context, object oas.Object, report *Report) error {
	watchCtx, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { b.watch(watchCtx, check.MetadataOf(&object).Version.Or(0)) })
	defer watching.Wait()
	defer stop()

	random := mathrand.New(mathrand.NewPCG(b.options.Seed, 0))
	var accepted, inForce []time.Duration
	sent := map[int64]time.Time{}
	for i := range b.options.Changes {
		select {
		case <-ctx.Done():
			return command.Failf(command.Other, "", "interrupted")
		case <-time.After(time.Duration(random.ExpFloat64() * float64(b.options.Every))):
		}
		object.Service.Spec.TimeoutMs = oas.NewOptInt64(int64(1000 + i))
		began := time.Now()
		written, err := b.client.Put(ctx, object, client.WriteOptions{})
		if err != nil {
			return err
		}
		accepted = append(accepted, time.Since(began))
		object = written
		version := check.MetadataOf(&object).Version.Or(0)
		sent[version] = began
		if err := b.waitInForce(ctx, version); err != nil {
			return err
		}
		inForce = append(inForce, time.Since(began))
	}
	report.Changes = len(accepted)
	report.Accepted, report.InForce, report.Watched = summarise(accepted), summarise(inForce), summarise(b.watched(sent))
	return nil
}

// waitInForce asks every entry VM until each says that it has the version.
func (b *bench) waitInForce(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range b.all {
		group.Go(func() error {
			for {
				status, err := one.Status(ctx)
				if err != nil {
					return err
				}
				if status.ConfigVersion >= version {
					return nil
				}
				select {
				case <-ctx.Done():
					return command.Failf(command.Other, "look at `heatherlock status`", "version %d is not in force on %s after %s", version, status.AnsweredBy, patience)
				case <-time.After(askEvery):
				}
			}
		})
	}
	return group.Wait()
}

// watch notes when each version shows up, through the entry VM that comes last
// in the list and not the one that takes the changes.
func (b *bench) watch(ctx context.Context, since int64) {
	through := b.all[len(b.all)-1]
	for ctx.Err() == nil {
		reply, err := through.Watch(ctx, oas.KindService, since, watchWait)
		if err != nil {
			continue
		}
		now := time.Now()
		b.mu.Lock()
		for _, e := range reply.Events {
			b.seen[e.Version] = now
		}
		b.mu.Unlock()
		since = reply.Version
	}
}

// watched returns the time from sending to the watch for each change that it
// showed; the report's count shows if any is missing.
func (b *bench) watched(sent map[int64]time.Time) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []time.Duration
	for version, began := range sent {
		if at, ok := b.seen[version]; ok {
			all = append(all, at.Sub(began))
		}
	}
	return all
}
