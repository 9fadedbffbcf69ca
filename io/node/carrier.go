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

// carrier sends the orders that an owner forwards to this entry, and returns the answers to the owner.
type carrier struct {
	node   *Node
	ctx    context.Context // of the calls to workers
	cancel context.CancelFunc

	mu          sync.Mutex
	token       uint64            // highest fencing token seen
	owner       string            // incarnation of the owner that sent it
	lastFrame   time.Time         // when the owner's last frame arrived
	active      bool              // heartbeats are being sent to the owner
	closed      bool              // no new calls are started
	answers     []*wire.Answer    // to be sent with the next frame
	sendPending bool              // a goroutine is about to send them
	specs       map[string]string // by job
	specOrder   []string          // jobs in specs, oldest first
	specBytes   int64             // length of all specs
	group       errgroup.Group
}

const (
	carrierHeartbeatPeriod = 200 * time.Millisecond // each heartbeat lets the permits of later orders begin later
	carrierHeartbeatLinger = 2 * time.Second        // heartbeats stop this long after the owner's last frame
	answerBatchDelay       = 4 * time.Millisecond   // answers wait this long to share a frame with others
	maxCachedSpecs         = 4096                   // of at most 4 KB each
)

// handleOrders handles a frame of orders from an owner. It refuses orders with a token lower than the highest seen in frames or
// in the ownership record, and all orders once the entry stops.
func (p *carrier) handleOrders(owner string, f *wire.Orders) {
	heard := stampTime(f.GetHeardNanoseconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return // the link is being closed too
	}
	if f.GetFence() < max(p.token, p.node.ownerRevision()) {
		p.refuse(owner, f, sched.StaleToken)
		return
	}
	p.token, p.owner, p.lastFrame = f.GetFence(), owner, p.node.Now()
	for _, s := range f.GetSpecs() {
		p.cacheSpec(s.GetJob(), s.GetText())
	}
	if !p.active {
		p.active = true
		p.group.Go(func() error { p.sendHeartbeats(); return nil })
	}
	if p.node.stopping.Load() {
		p.refuse(owner, f, sched.NotSent)
		return
	}
	for _, o := range f.GetOrders() {
		p.group.Go(func() error {
			p.queueAnswer(encodeAnswer(o.GetCall(), p.sendOrder(o, f.GetFence(), heard)))
			return nil
		})
	}
}

// refuse answers all orders of a frame with a, and tells the owner to stop using this carrier.
func (p *carrier) refuse(owner string, f *wire.Orders, a sched.Answer) {
	m := &wire.Answers{StampNanoseconds: p.node.Now().UnixNano(), Leaving: true}
	for _, o := range f.GetOrders() {
		m.Answers = append(m.Answers, &wire.Answer{Call: o.GetCall(), Answer: string(a)})
	}
	p.sendTo(owner, m)
}

// sendTo sends answers to an owner. The owner counts the orders of dropped answers as unanswered.
func (p *carrier) sendTo(owner string, m *wire.Answers) {
	mesh := p.node.links()
	if mesh == nil {
		return
	}
	if !mesh.Send(owner, &wire.Frame{Body: &wire.Frame_Answers{Answers: m}}) && len(m.GetAnswers()) > 0 {
		p.node.logLimited("AnswersDropped").Int("Answers", len(m.GetAnswers())).Send()
	}
}

// sendOrder calls a worker with an order, unless the permit has expired. The permit begins at heard, the newest reading
// of this entry's clock that the owner had when it sent the frame.
func (p *carrier) sendOrder(o *wire.Order, token uint64, heard time.Time) sched.PollResult {
	notSent := sched.PollResult{Answer: sched.NotSent}
	w, order, timeout, err := decodeOrder(o)
	if err != nil {
		p.node.logLimited("OrderSkipped").Uint64("Call", o.GetCall()).Err(err).Send()
		return notSent
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	if order, err = p.addSpec(ctx, order); err != nil {
		return notSent
	}
	return p.node.transmit(ctx, w, token, order, func() bool {
		now := p.node.Now()
		permitted := carry.Permitted(now, heard)
		if !permitted {
			p.node.logLimited("PermitEnded").Str("Worker", w.ID).Dur("Age", now.Sub(heard)).Uint64("Fence", token).Send()
		}
		return permitted
	})
}

// addSpec adds the spec to a start order that has none.
func (p *carrier) addSpec(ctx context.Context, order any) (any, error) {
	start, is := order.(sched.Start)
	if !is || start.Spec != "" {
		return order, nil
	}
	spec, err := p.spec(ctx, start.Task.Job)
	if err != nil {
		p.node.logLimited("SpecUnknown").Str("Job", start.Task.Job).Err(err).Send()
		return order, err
	}
	start.Spec = spec
	return start, nil
}

// spec returns the spec of a job, from the cache or else from the store, since an owner does not send every spec.
func (p *carrier) spec(ctx context.Context, job string) (string, error) {
	p.mu.Lock()
	text, known := p.specs[job]
	p.mu.Unlock()
	if known {
		return text, nil
	}
	record, err := p.node.Store.Get(ctx, keyJobs+job, store.Critical)
	if err != nil {
		return "", err
	}
	j, err := sched.DecodeJob(record.Value)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheSpec(job, j.Spec)
	return j.Spec, nil
}

// cacheSpec caches a spec, and drops the oldest one when the cache is full. The caller must hold mu.
func (p *carrier) cacheSpec(job, text string) {
	if p.specs == nil {
		p.specs = make(map[string]string)
	}
	if _, known := p.specs[job]; !known {
		p.specOrder = append(p.specOrder, job)
	}
	p.specBytes += int64(len(text) - len(p.specs[job]))
	p.specs[job] = text
	for most := p.node.SpecBytes; len(p.specOrder) > maxCachedSpecs || most > 0 && p.specBytes > most && len(p.specOrder) > 1; {
		p.specBytes -= int64(len(p.specs[p.specOrder[0]]))
		delete(p.specs, p.specOrder[0])
		p.specOrder = p.specOrder[1:]
	}
}

// queueAnswer adds an answer to the next frame for the owner.
func (p *carrier) queueAnswer(a *wire.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, a)
	if p.sendPending {
		return
	}
	p.sendPending = true
	p.group.Go(func() error {
		time.Sleep(answerBatchDelay)
		p.sendAnswers()
		return nil
	})
}

// sendAnswers sends the queued answers; without any, the frame serves as a heartbeat.
func (p *carrier) sendAnswers() {
	p.mu.Lock()
	answers, owner := p.answers, p.owner
	p.answers, p.sendPending = nil, false
	p.mu.Unlock()
	p.sendTo(owner, &wire.Answers{StampNanoseconds: p.node.Now().UnixNano(), Answers: answers, Leaving: p.node.stopping.Load()})
}

// sendHeartbeats sends heartbeats until no frame has come from an owner for carrierHeartbeatLinger.
func (p *carrier) sendHeartbeats() {
	for {
		p.sendAnswers()
		time.Sleep(carrierHeartbeatPeriod)
		p.mu.Lock()
		p.active = !p.closed && p.node.Now().Sub(p.lastFrame) < carrierHeartbeatLinger
		active := p.active
		p.mu.Unlock()
		if !active {
			return
		}
	}
}

// close cancels the pending calls and waits until all goroutines have ended.
func (p *carrier) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	_ = p.group.Wait() // the goroutines return no errors
}

// stampTime returns the time of a clock reading that an owner sent back; it is zero when the owner had none.
func stampTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
