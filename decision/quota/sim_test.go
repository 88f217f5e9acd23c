package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselring/mesh"
)

// maxWait is how long a request waits for credit in these specs.
const maxWait = 90 * time.Millisecond

// mesh of nodes with their own clocks, connected by links that lose and delay messages.
type testMesh struct {
	random   *rand.Rand
	settings Settings
	limits   map[mesh.AccountName]Limit
	now      time.Duration
	nodes    []*testNode
	messages []*message
	loss     float64
	maxDelay time.Duration
	notRun   float64 // share of admitted requests that return their credit
	runs     map[mesh.AccountName][]time.Duration
	refused  map[mesh.AccountName]int
	waited   map[mesh.AccountName]int
	asks     int
}

type testNode struct {
	id      mesh.NodeID
	group   int // nodes of other groups are not reached
	speed   float64
	boot    uint64
	down    bool
	holder  *Holder
	grantor *Grantor
	waiting map[mesh.AccountName][]time.Duration
}

type message struct {
	from, to       *testNode
	boot           uint64 // of the sender
	out            Outgoing
	arrives, fails time.Duration
	answer         *Answer
	answers        time.Duration
	ended          bool
}

const step = 10 * time.Millisecond

var testSettings = Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func newTestMesh(seed uint64, nodes int, limits map[mesh.AccountName]Limit, firstStart bool) *testMesh {
	m := &testMesh{
		random: rand.New(rand.NewPCG(seed, 1)), settings: testSettings, limits: limits, maxDelay: 5 * time.Millisecond,
		runs: map[mesh.AccountName][]time.Duration{}, refused: map[mesh.AccountName]int{}, waited: map[mesh.AccountName]int{},
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &testNode{id: mesh.NodeID(fmt.Sprintf("n%03d", i)), speed: 0.98 + 0.04*m.random.Float64()})
	}
	for _, n := range m.nodes {
		m.start(n, firstStart)
	}
	return m
}

func (m *testMesh) start(n *testNode, firstStart bool) {
	n.boot++
	n.down = false
	n.holder = NewHolder(m.settings, n.id, n.boot, m.clock(n), firstStart)
	n.grantor = NewGrantor(m.settings, n.boot, m.clock(n))
	n.waiting = map[mesh.AccountName][]time.Duration{}
	var ids []mesh.NodeID
	for _, other := range m.nodes {
		ids = append(ids, other.id)
	}
	n.holder.SetNodes(ids, true)
	n.holder.SetLimits(m.limits)
}

func (m *testMesh) clock(n *testNode) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(m.now) * n.speed))
}

func (m *testMesh) limit(name mesh.AccountName) (Limit, bool) { l, ok := m.limits[name]; return l, ok }

func (m *testMesh) node(id mesh.NodeID) *testNode {
	for _, n := range m.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// request sends one request of an account to a node.
func (m *testMesh) request(n *testNode, name mesh.AccountName) {
	if n.down {
		return
	}
	switch n.holder.Take(m.clock(n), name) {
	case Admitted:
		m.run(n, name)
	case Waiting:
		n.waiting[name] = append(n.waiting[name], m.now)
		m.waited[name]++
	case Refused:
		m.refused[name]++
	}
}

func (m *testMesh) run(n *testNode, name mesh.AccountName) {
	if m.random.Float64() < m.notRun {
		n.holder.Return(name)
		return
	}
	m.runs[name] = append(m.runs[name], m.now)
}

// advance moves the time by one step.
func (m *testMesh) advance() {
	m.now += step
	for _, n := range m.nodes {
		if n.down {
			continue
		}
		for name, waiting := range n.waiting {
			for len(waiting) > 0 && m.now-waiting[0] > maxWait {
				waiting = waiting[1:]
				n.holder.Abandon(m.clock(n), name)
				m.refused[name]++
			}
			n.waiting[name] = waiting
		}
		for _, out := range n.holder.Asks(m.clock(n)) {
			m.send(n, out)
		}
	}
	open := m.messages[:0]
	for _, x := range m.messages {
		m.deliver(x)
		if !x.ended || x.arrives > m.now {
			open = append(open, x)
		}
	}
	m.messages = open
}

func (m *testMesh) delay() time.Duration {
	if m.random.Float64() < m.loss {
		return time.Duration(m.random.Int64N(int64(2 * time.Second))) // some arrive after the sender gave up
	}
	return time.Duration(m.random.Int64N(int64(m.maxDelay)))
}

func (m *testMesh) send(n *testNode, out Outgoing) {
	to := m.node(out.To)
	x := &message{from: n, to: to, boot: n.boot, out: out, arrives: m.now + m.delay(), fails: m.now + 250*time.Millisecond}
	if to == n {
		x.arrives = m.now
	} else {
		m.asks++
	}
	if to.down && to.group == n.group {
		n.holder.Failed(m.clock(n), &out, true)
		return
	}
	if to.group != n.group {
		x.arrives = m.now + time.Hour
	}
	m.messages = append(m.messages, x)
}

func (m *testMesh) deliver(x *message) {
	if x.arrives <= m.now && x.answers == 0 {
		x.answers = x.fails + time.Hour
		if !x.to.down && x.to.group == x.from.group {
			if a, ok := x.to.grantor.Answer(m.clock(x.to), &x.out.Ask, len(m.nodes), m.limit); ok {
				x.answer, x.answers = &a, m.now+m.delay()
				if x.to == x.from {
					x.answers = m.now
				}
			}
		}
	}
	if x.ended || x.from.boot != x.boot || x.from.down {
		x.ended = true
		return
	}
	n := x.from
	switch {
	case x.answer != nil && x.answers <= m.now && x.to.group == n.group:
		x.ended = true
		for _, d := range n.holder.Answered(m.clock(n), &x.out, x.answer) {
			for range d.Admitted {
				m.run(n, d.Account)
			}
			m.refused[d.Account] += d.Refused
			n.waiting[d.Account] = n.waiting[d.Account][d.Admitted+d.Refused:]
		}
	case x.fails <= m.now:
		x.ended = true
		n.holder.Failed(m.clock(n), &x.out, false)
	}
}

// load sends requests at a rate, spread over the nodes that are up, for a time.
func (m *testMesh) load(d time.Duration, rates map[mesh.AccountName]float64) {
	for end := m.now + d; m.now < end; m.advance() {
		for _, name := range sortedAccounts(m.limits) {
			for n := poisson(m.random, rates[name]*step.Seconds()); n > 0; n-- {
				m.request(m.nodes[m.random.IntN(len(m.nodes))], name)
			}
		}
	}
}

func sortedAccounts(limits map[mesh.AccountName]Limit) []mesh.AccountName {
	names := make([]mesh.AccountName, 0, len(limits))
	for i := range len(limits) {
		names = append(names, accountName(i))
	}
	return names
}

func accountName(i int) mesh.AccountName { return mesh.AccountName(fmt.Sprintf("a%02d", i)) }

// poisson counts the events of a step.
func poisson(random *rand.Rand, mean float64) (n int) {
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		n++
	}
	return n
}

// most returns the largest number of requests that ran in any window.
func (m *testMesh) most(name mesh.AccountName) int {
	best, first := 0, 0
	runs := m.runs[name]
	for i := range runs {
		for runs[i]-runs[first] >= m.settings.Window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}
