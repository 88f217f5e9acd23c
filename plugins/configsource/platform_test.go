package configsource

import (
	"context"
	"maps"
	"strings"
	"sync"

	"teaselring/port"
	"teaselring/result"
)

// platform is an in-memory table and object store with fault injection.
type platform struct {
	mu       sync.Mutex
	rows     map[string]port.Row
	objects  map[string][]byte
	revision uint64
	commits  int // transactions that took effect

	down          bool
	loseResponses int               // commits that take effect but report an unknown outcome
	rateLimited   int               // commits that the rate limit refuses
	downAfter     bool              // the platform goes down after the next commit
	frozen        map[string][]byte // objects returned by a stale object store, nil: it is not stale
	beforeWrite   func()            // runs before the next commit
	afterLookup   func()            // runs after the next read of a publication
	stall         chan struct{}     // commits wait until it is closed
}

func newPlatform() *platform {
	return &platform{rows: map[string]port.Row{}, objects: map[string][]byte{}}
}

func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// freeze makes the object store stale: reads return its present content.
func (p *platform) freeze() { p.update(func() { p.frozen = maps.Clone(p.objects) }) }

func (p *platform) Get(_ context.Context, table, key string) (port.Row, error) {
	p.mu.Lock()
	row, down := p.rows[table+"/"+key], p.down
	var after func()
	if strings.HasPrefix(key, publicationPrefix) {
		after, p.afterLookup = p.afterLookup, nil
	}
	p.mu.Unlock()
	if after != nil {
		after()
	}
	if down {
		return port.Row{}, result.PlatformDown.Err()
	}
	return row, nil
}

func (p *platform) Scan(context.Context, string, string, string, int) ([]port.Row, error) {
	return nil, result.Internal.Errorf("not used")
}

func (p *platform) Commit(ctx context.Context, txn port.Txn) error {
	p.mu.Lock()
	before, stall := p.beforeWrite, p.stall
	p.beforeWrite = nil
	p.mu.Unlock()
	if before != nil {
		before()
	}
	if stall != nil {
		select {
		case <-stall:
		case <-ctx.Done():
			return result.PlatformUnknown.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return result.PlatformDown.Err()
	}
	if p.rateLimited > 0 {
		p.rateLimited--
		return result.PlatformLimit.Err()
	}
	for _, c := range txn.Checks {
		if p.rows[c.Table+"/"+c.Key].Revision != c.Revision {
			return result.RowConflict.Err()
		}
	}
	p.revision++
	p.commits++
	for _, put := range txn.Puts {
		p.rows[put.Table+"/"+put.Key] = port.Row{Key: put.Key, Value: put.Value, Revision: p.revision}
	}
	p.down, p.downAfter = p.downAfter, false
	if p.loseResponses > 0 {
		p.loseResponses--
		return result.PlatformUnknown.Err()
	}
	return nil
}

func (p *platform) PutObject(_ context.Context, key string, content []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return result.PlatformDown.Err()
	}
	p.objects[key] = content
	return nil
}

func (p *platform) GetObject(_ context.Context, key string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	objects := p.objects
	if p.frozen != nil {
		objects = p.frozen
	}
	content, ok := objects[key]
	switch {
	case p.down:
		return nil, result.PlatformDown.Err()
	case !ok:
		return nil, result.ObjectMissing.Err()
	}
	return content, nil
}
