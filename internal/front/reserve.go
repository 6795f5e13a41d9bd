package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/wire"
)

// A Reservation is leave to send one call to an engine.
type Reservation interface {
	// Version is the adapter version that the engine holds; 0 is not known.
	Version() plank.VersionNumber
	// Began records that the first event has arrived.
	Began()
	// Missing records that the engine does not hold the adapter.
	Missing()
	// Failed records that the engine failed the call, or could not be reached.
	Failed(reached bool)
	// Release must be called once the call has ended.
	Release()
}

// A Reserver is asked for room on engines.
type Reserver interface {
	// Reserve waits for room until ctx ends. The engine that has it is named,
	// which need not be the one asked for. A *plank.RefusalError tells that
	// there is none, an *plank.UnavailableError that nobody could be asked.
	Reserve(ctx context.Context, e mesh.Engine, inst plank.Instance, r grant.Request) (plank.Instance, Reservation, error)
	// ReserveAny lets the holder at an address choose the engine. The engine
	// that it chose is named with the reservation, and with a refusal if there was one.
	ReserveAny(ctx context.Context, addr string, w AnyRequest) (plank.Instance, Reservation, error)
}

// An AnyRequest asks for room on any engine of a service.
type AnyRequest struct {
	grant.Request
	Service plank.ServiceID
}

// A Broker asks the holder of an engine's domain for room: this VM's keeper, or a
// peer's.
type Broker struct {
	Local     *grant.Scheduler
	Chooser   *Chooser
	Transport *peer.Transport
	Clock     plank.Clock
	Log       *logrus.Entry
}

var _ Reserver = (*Broker)(nil)

// Reserve implements Reserver.
func (b *Broker) Reserve(ctx context.Context, e mesh.Engine, inst plank.Instance, r grant.Request) (plank.Instance, Reservation, error) {
	if e.Address != "" {
		return b.reserveRemote(ctx, e.Address, inst, r)
	}
	t, err := b.Local.Reserve(ctx, inst.ID, inst.Born, r)
	var notHeld *grant.NotHeldError
	switch {
	case errors.As(err, &notHeld):
		return inst, nil, &plank.UnavailableError{Target: string(inst.ID), Op: "reserve", Err: err}
	case err != nil:
		return inst, nil, noCapacity("no room in time", 0)
	case !t.Granted:
		return inst, nil, noCapacity(t.Reason, t.RetryAfter)
	}
	return t.Instance, localReservation{t}, nil
}

func noCapacity(reason string, retry time.Duration) *plank.RefusalError {
	r := plank.Refuse(plank.CodeNoEndpoint, "%s", reason)
	r.RetryAfter = retry
	return r
}

type localReservation struct {
	*grant.Reservation
}

// Version implements Reservation.
func (l localReservation) Version() plank.VersionNumber { return l.Outcome.Version }

// Failed implements Reservation. The holder is this VM, which judges the engine
// by its own calls already.
func (localReservation) Failed(bool) {}

// ackTime is how long a holder may take to tell that a caller waits. One that
// is cut off is noticed by it.
const ackTime = 250 * time.Millisecond

// replyMargin is how much longer than the holder waits its reply may take.
const replyMargin = 150 * time.Millisecond

func (b *Broker) reserveRemote(ctx context.Context, addr string, inst plank.Instance, r grant.Request) (plank.Instance, Reservation, error) {
	q := request(r, b.Clock.Now())
	q.Endpoint, q.Born = string(inst.ID), inst.Born.UnixMilli()
	reply, res, err := b.ask(ctx, addr, q)
	if err != nil {
		return inst, nil, err
	}
	if res == nil {
		return inst, nil, noCapacity(reply.Reason, time.Duration(reply.RetryMicros)*time.Microsecond)
	}
	return b.granted(reply, res)
}

// granted returns the engine that a holder granted room on.
func (b *Broker) granted(reply *wire.ReserveReply, res Reservation) (plank.Instance, Reservation, error) {
	inst, known := b.Chooser.View.Load().Instances[plank.EndpointID(reply.Endpoint)]
	if !known {
		res.Release()
		// The caller asks again without this engine.
		return plank.Instance{ID: plank.EndpointID(reply.Endpoint)}, nil, noCapacity("the holder chose an engine that is not known here", 0)
	}
	return inst, res, nil
}

// ReserveAny implements Reserver. A holder that chose an engine of another one
// names that, which is then asked.
func (b *Broker) ReserveAny(ctx context.Context, addr string, w AnyRequest) (plank.Instance, Reservation, error) {
	q := request(w.Request, b.Clock.Now())
	q.Service = string(w.Service)
	reply, res, err := b.ask(ctx, addr, q)
	if err != nil {
		return plank.Instance{}, nil, err
	}
	if res != nil {
		return b.granted(reply, res)
	}
	inst, known := b.Chooser.View.Load().Instances[plank.EndpointID(reply.Endpoint)]
	if reply.Address != "" && known {
		return b.reserveRemote(ctx, reply.Address, inst, w.Request)
	}
	if !known {
		inst.ID = plank.EndpointID(reply.Endpoint) // empty if the holder has none
	}
	return inst, nil, noCapacity(reply.Reason, time.Duration(reply.RetryMicros)*time.Microsecond)
}

// request returns the message for a request.
func request(r grant.Request, now time.Time) *wire.ReserveRequest {
	q := &wire.ReserveRequest{
		Request: string(r.ID), Adapter: r.Adapter.String(), Version: uint64(r.Version), Prompt: float64(r.Prompt), Output: float64(r.Output),
		Priority: uint32(max(0, r.Priority)), WaitMicros: r.Deadline.Sub(now).Microseconds(),
		TargetMicros: r.Target.Sub(now).Microseconds(),
	}
	for _, id := range r.Skip {
		q.Skip = append(q.Skip, string(id))
	}
	return q
}

// ask sends a request to a holder and waits for the reply that settles it. The
// reservation is nil if none was granted.
func (b *Broker) ask(ctx context.Context, addr string, q *wire.ReserveRequest) (*wire.ReserveReply, Reservation, error) {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	s, err := b.Transport.Open(life, addr, &wire.Call{Body: &wire.Call_Reserve{Reserve: q}})
	if err != nil {
		cancel()
		b.Chooser.MarkUnresponsive(addr)
		return nil, nil, err
	}
	reply, err := receiveReply(s, time.Duration(q.WaitMicros)*time.Microsecond)
	if err == nil && reply.Granted {
		return reply, &remoteReservation{stream: s, cancel: cancel, version: plank.VersionNumber(reply.Version), log: b.Log}, nil
	}
	s.Close()
	cancel()
	switch {
	case ctx.Err() != nil:
		return nil, nil, noCapacity("no room in time", 0)
	case err == nil && reply.NotHeld:
		err = &grant.NotHeldError{Endpoint: plank.EndpointID(q.Endpoint)}
	}
	if err != nil {
		b.Chooser.MarkUnresponsive(addr)
		return nil, nil, &plank.UnavailableError{Target: "holder " + addr, Op: "reserve", Err: err}
	}
	return reply, nil, nil
}

// receiveReply waits for the reply that settles a reservation.
func receiveReply(s *peer.Stream, wait time.Duration) (*wire.ReserveReply, error) {
	until := time.Now().Add(wait + replyMargin)
	reply := new(wire.ReserveReply)
	if err := s.SetDeadline(time.Now().Add(ackTime)); err != nil {
		return nil, err
	}
	if err := s.Receive(reply); err != nil || !reply.Queued {
		return reply, err
	}
	if err := s.SetDeadline(until); err != nil {
		return nil, err
	}
	reply.Reset()
	return reply, s.Receive(reply)
}

// A remoteReservation is a reservation at a peer; it lasts as long as its stream.
type remoteReservation struct {
	stream  *peer.Stream
	cancel  context.CancelFunc
	version plank.VersionNumber
	log     *logrus.Entry
}

// Version implements Reservation.
func (r *remoteReservation) Version() plank.VersionNumber { return r.version }

// Began implements Reservation.
func (r *remoteReservation) Began() { r.note(&wire.ReserveNote{Began: true}) }

// Missing implements Reservation.
func (r *remoteReservation) Missing() { r.note(&wire.ReserveNote{Missing: true}) }

// Failed implements Reservation.
func (r *remoteReservation) Failed(reached bool) {
	r.note(&wire.ReserveNote{Failed: true, Unreached: !reached})
}

func (r *remoteReservation) note(n *wire.ReserveNote) {
	err := r.stream.SetDeadline(time.Now().Add(ackTime))
	if err == nil {
		err = r.stream.Send(n)
	}
	if err != nil {
		// The holder counts the call as ended; engines finish what runs.
		r.log.WithError(err).Info("front: the holder of a room is gone")
	}
}

// Release implements Reservation.
func (r *remoteReservation) Release() {
	r.stream.Close()
	r.cancel()
}

// ServeReserve answers a peer that asks for room.
func (b *Broker) ServeReserve(q *wire.ReserveRequest, s *peer.Stream) {
	asked := b.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	notes := make(chan *wire.ReserveNote, 2)
	go func() {
		defer close(notes)
		defer cancel()
		for {
			n := new(wire.ReserveNote)
			if s.Receive(n) != nil {
				return
			}
			notes <- n
		}
	}()
	replies := &replier{broker: b, stream: s}
	queued := time.AfterFunc(ackTime/5, replies.queued)
	defer queued.Stop()
	now := b.Clock.Now()
	r := grant.Request{
		ID: plank.RequestID(q.Request), Adapter: plank.ParseAdapterRef(q.Adapter), Version: plank.VersionNumber(q.Version),
		Prompt: plank.Tokens(q.Prompt), Output: plank.Tokens(q.Output), Priority: int(q.Priority),
		Target: now.Add(time.Duration(q.TargetMicros) * time.Microsecond), Deadline: now.Add(time.Duration(q.WaitMicros) * time.Microsecond),
	}
	for _, id := range q.Skip {
		r.Skip = append(r.Skip, plank.EndpointID(id))
	}
	if q.Endpoint == "" {
		if elsewhere := b.choose(q, r); elsewhere != nil {
			replies.settle(elsewhere)
			return
		}
	}
	t, err := b.Local.Reserve(ctx, plank.EndpointID(q.Endpoint), time.UnixMilli(q.Born), r)
	var notHeld *grant.NotHeldError
	if err != nil {
		if ctx.Err() == nil {
			replies.settle(&wire.ReserveReply{Reason: err.Error(), NotHeld: errors.As(err, &notHeld)})
		}
		return
	}
	defer t.Release()
	b.Log.WithFields(logrus.Fields{
		"request": q.Request, "endpoint": t.Instance.ID, "adapter": q.Adapter, "granted": t.Granted, "reason": t.Reason, "version": t.Outcome.Version,
		"waited_ms": b.Clock.Now().Sub(asked).Milliseconds(),
	}).Info("grant: settled")
	replies.settle(&wire.ReserveReply{Granted: t.Granted, Endpoint: string(t.Instance.ID), Version: uint64(t.Outcome.Version), Reason: t.Reason, RetryMicros: t.RetryAfter.Microseconds()})
	if !t.Granted {
		return
	}
	for n := range notes {
		b.takeNote(t, n)
	}
}

// takeNote takes what a peer tells of its call. Each VM has few calls on each
// engine of a large fleet, so the holder learns from all VMs which engines fail.
func (b *Broker) takeNote(t *grant.Reservation, n *wire.ReserveNote) {
	switch id := t.Instance.ID; {
	case n.Began:
		t.Began()
		b.Chooser.Health.RecordSuccess(id)
	case n.Missing:
		t.Missing()
	case n.Failed && n.Unreached:
		b.Chooser.Health.RecordUnreachable(id)
	case n.Failed:
		b.Chooser.Health.RecordFailure(id)
	}
}

// choose fills in the engine of a request that leaves it open. It returns the
// reply if the engine is another holder's or there is none.
func (b *Broker) choose(q *wire.ReserveRequest, r grant.Request) *wire.ReserveReply {
	service := plank.ServiceID(q.Service)
	pool := b.Chooser.View.Load().Pool(service)
	if pool == nil {
		return &wire.ReserveReply{Reason: "no such service"}
	}
	w := pick.Call{Adapter: r.Adapter, Prompt: r.Prompt, Output: r.Output, Target: r.Target.Sub(b.Clock.Now())}
	c, ok := b.Chooser.Choose(service, pool, w, func(id plank.EndpointID) bool { return slices.Contains(r.Skip, id) })
	if !ok || !c.Engine.StateKnown {
		return &wire.ReserveReply{Reason: "no engine to ask", RetryMicros: fullRetry.Microseconds()}
	}
	if b.Clock.Now().Add(c.Expected / 2).After(r.Deadline) {
		return &wire.ReserveReply{Reason: "no engine in time", RetryMicros: (c.Expected / 2).Microseconds()}
	}
	q.Endpoint, q.Born = string(c.Engine.Instance.ID), c.Engine.Instance.Born.UnixMilli()
	if c.State.Address != "" {
		return &wire.ReserveReply{Endpoint: q.Endpoint, Address: c.State.Address}
	}
	return nil
}

// A replier sends the replies to one reservation in order.
type replier struct {
	broker *Broker

	mu      sync.Mutex
	stream  *peer.Stream
	settled bool
}

// queued tells that the caller waits, unless its reservation was settled.
func (r *replier) queued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.settled {
		r.send(&wire.ReserveReply{Queued: true})
	}
}

// settle sends the last reply.
func (r *replier) settle(m *wire.ReserveReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
	r.send(m)
}

// send sends a reply. A peer that is gone by then has lost its stream as well.
// The lock is held.
func (r *replier) send(m *wire.ReserveReply) {
	if err := r.stream.Send(m); err != nil {
		r.broker.Log.WithError(err).Info("front: a peer that asked for room is gone")
	}
}
