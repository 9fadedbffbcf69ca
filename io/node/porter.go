package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"daisysaddle/core/carry"
	"daisysaddle/core/sched"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// porter carries out the orders that an owner sends to this entry.
type porter struct {
	node *Node
	ctx  context.Context // of the calls
	end  context.CancelFunc

	mu      sync.Mutex
	fence   uint64            // highest seen
	owner   string            // incarnation that sent it
	ordered time.Time         // when its last frame came
	beating bool              // heartbeats are being sent
	closed  bool              // nothing is begun any more
	answers []*wire.Answer    // wait to be sent
	sending bool              // they will be soon
	specs   map[string]string // by job
	order   []string          // jobs, oldest first
	calls   errgroup.Group
}

const (
	porterBeat   = 200 * time.Millisecond // of heartbeats, which keep the permit young
	porterLinger = 2 * time.Second        // heartbeats end this long after the owner's last frame
	porterGather = 4 * time.Millisecond   // answers wait this long for others to share their frame
	specsKept    = 4096                   // at most 4 KB each
)

// take takes in a frame of orders.
func (p *porter) take(owner string, f *wire.Orders) {
	heard := stampTime(f.GetHeardNanoseconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return // the link ends too
	}
	if f.GetFence() < p.fence {
		p.refuse(owner, f, sched.Outdated)
		return
	}
	p.fence, p.owner, p.ordered = f.GetFence(), owner, p.node.Now()
	for _, s := range f.GetSpecs() {
		p.keep(s.GetJob(), s.GetText())
	}
	if !p.beating {
		p.beating = true
		p.calls.Go(func() error { p.beat(); return nil })
	}
	if p.node.stopping.Load() {
		p.refuse(owner, f, sched.NotSent)
		return
	}
	for _, o := range f.GetOrders() {
		p.calls.Go(func() error {
			p.answer(wireAnswer(o.GetCall(), p.carry(o, f.GetFence(), heard)))
			return nil
		})
	}
}

// refuse tells an owner that none of its orders was sent.
func (p *porter) refuse(owner string, f *wire.Orders, a sched.Answer) {
	m := &wire.Answers{StampNanoseconds: p.node.Now().UnixNano(), Leaving: true}
	for _, o := range f.GetOrders() {
		m.Answers = append(m.Answers, &wire.Answer{Call: o.GetCall(), Answer: string(a)})
	}
	p.post(owner, m)
}

// post sends answers to an owner, which takes those that are dropped as lost.
func (p *porter) post(owner string, m *wire.Answers) {
	mesh := p.node.links()
	if mesh == nil {
		return
	}
	if !mesh.Send(owner, &wire.Frame{Body: &wire.Frame_Answers{Answers: m}}) && len(m.GetAnswers()) > 0 {
		p.node.often("AnswersDropped").Int("Answers", len(m.GetAnswers())).Send()
	}
}

// carry makes one call, unless its permit has ended meanwhile.
func (p *porter) carry(o *wire.Order, fence uint64, heard time.Time) sched.Sight {
	notSent := sched.Sight{Answer: sched.NotSent}
	w, order, timeout, err := orderOf(o)
	if err != nil {
		p.node.often("OrderSkipped").Uint64("Call", o.GetCall()).Err(err).Send()
		return notSent
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	if order, err = p.complete(ctx, order); err != nil {
		return notSent
	}
	if now := p.node.Now(); !carry.Permitted(now, heard) {
		p.node.often("PermitEnded").Str("Worker", w.ID).Dur("Age", now.Sub(heard)).Uint64("Fence", fence).Send()
		return notSent
	}
	return p.node.carryOut(ctx, w, fence, order)
}

// complete adds the spec to a start that has none.
func (p *porter) complete(ctx context.Context, order any) (any, error) {
	start, is := order.(sched.Start)
	if !is || start.Spec != "" {
		return order, nil
	}
	spec, err := p.spec(ctx, start.Task.Job)
	if err != nil {
		p.node.often("SpecUnknown").Str("Job", start.Task.Job).Err(err).Send()
		return order, err
	}
	start.Spec = spec
	return start, nil
}

// spec returns what the tasks of a job run; the owner may leave it to the store.
func (p *porter) spec(ctx context.Context, job string) (string, error) {
	p.mu.Lock()
	text, known := p.specs[job]
	p.mu.Unlock()
	if known {
		return text, nil
	}
	record, err := p.node.Store.Get(ctx, keyJobs+job, store.Safety)
	if err != nil {
		return "", err
	}
	j, err := sched.DecodeJob(record.Value)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(job, j.Spec)
	return j.Spec, nil
}

// keep remembers a spec; the caller holds the lock.
func (p *porter) keep(job, text string) {
	if p.specs == nil {
		p.specs = make(map[string]string)
	}
	if _, known := p.specs[job]; !known {
		p.order = append(p.order, job)
	}
	p.specs[job] = text
	if len(p.order) > specsKept {
		delete(p.specs, p.order[0])
		p.order = p.order[1:]
	}
}

// answer queues an answer for the owner.
func (p *porter) answer(a *wire.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, a)
	if p.sending {
		return
	}
	p.sending = true
	p.calls.Go(func() error {
		time.Sleep(porterGather)
		p.send()
		return nil
	})
}

// send sends the answers that wait, or a heartbeat without any.
func (p *porter) send() {
	p.mu.Lock()
	answers, owner := p.answers, p.owner
	p.answers, p.sending = nil, false
	p.mu.Unlock()
	p.post(owner, &wire.Answers{StampNanoseconds: p.node.Now().UnixNano(), Answers: answers, Leaving: p.node.stopping.Load()})
}

// beat sends heartbeats while an owner gives orders.
func (p *porter) beat() {
	for {
		p.send()
		time.Sleep(porterBeat)
		p.mu.Lock()
		p.beating = !p.closed && p.node.Now().Sub(p.ordered) < porterLinger
		beating := p.beating
		p.mu.Unlock()
		if !beating {
			return
		}
	}
}

// close ends the calls under way.
func (p *porter) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.end()
	_ = p.calls.Wait() // the goroutines return no errors
}

// stampTime returns the reading of this entry's clock that an owner sent back; zero when it had none.
func stampTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
