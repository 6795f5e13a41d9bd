package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/wire"
)

// A Reservation permits one call to be sent to an engine.
type Reservation interface {
	// Version returns the adapter version that is resident; 0 if not known.
	Version() plank.VersionNumber
	// MarkStarted records that the first event has arrived.
	MarkStarted()
	// MarkAdapterMissing records that the adapter is not resident on the engine.
	MarkAdapterMissing()
	// MarkFailed records that the engine failed the call or, if reached is false,
	// that it could not be reached.
	MarkFailed(reached bool)
	// ReportPace records what the answer shows of the engine's pace. It is called before
	// MarkStarted and once the stream has ended.
	ReportPace(r PaceReport)
	// Release ends the reservation. It must be called once the call has ended.
	Release()
}

// A Reserver requests reservations from the lease holders of engines.
type Reserver interface {
	// Reserve waits for a reservation until ctx ends. It returns the engine on
	// which capacity was granted, which need not be inst. A
	// *plank.RefusalError reports that there is no capacity, a
	// *plank.UnavailableError that the holder did not answer or holds the
	// engine no longer.
	Reserve(ctx context.Context, e mesh.Engine, inst plank.Instance, r grant.Request) (plank.Instance, Reservation, error)
	// ReserveAny lets the holder at addr select the engine. It returns the
	// selected engine with the reservation and, if there is one, with a refusal.
	ReserveAny(ctx context.Context, addr string, r AnyRequest) (plank.Instance, Reservation, error)
}

// An AnyRequest is a request for a reservation on any engine of a service.
type AnyRequest struct {
	grant.Request
	Service plank.ServiceID
}

// A Broker requests reservations from the holder of an engine's domain, which is
// this VM or a peer, and serves the reservation requests of peers.
type Broker struct {
	Local *grant.Scheduler // for engines whose lease this VM holds
	// LastPause returns the length of the last pause of this process and how long ago it
	// ended.
	LastPause func() (length, ago time.Duration)
	Chooser   *Chooser
	Paces     *pace.Table // nil if none are learned
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
	res, err := b.Local.Reserve(ctx, inst.ID, inst.Born, r)
	var notHeld *grant.NotHeldError
	switch {
	case errors.As(err, &notHeld):
		return inst, nil, &plank.UnavailableError{Target: string(inst.ID), Op: "reserve", Err: err}
	case err != nil:
		return inst, nil, noCapacity("no room in time", 0)
	case !res.Granted:
		return inst, nil, noCapacity(res.Reason, res.RetryAfter)
	}
	return res.Instance, localReservation{res, b.Paces}, nil
}

// noCapacity returns a refusal for lack of capacity. retry is the time after which
// the caller may try again; 0 if not known.
func noCapacity(reason string, retry time.Duration) *plank.RefusalError {
	r := plank.Refuse(plank.CodeNoEndpoint, "%s", reason)
	r.RetryAfter = retry
	return r
}

// A localReservation is a reservation on an engine whose lease this VM holds.
type localReservation struct {
	*grant.Reservation
	paces *pace.Table
}

// Version implements Reservation.
func (l localReservation) Version() plank.VersionNumber { return l.Outcome.Version }

// MarkFailed implements Reservation. The holder is this VM, whose health table already has the
// failure.
func (l localReservation) MarkFailed(reached bool) {
	l.Reservation.MarkFailed()
	if !reached {
		l.MarkUnreached()
	}
}

// ackTimeout is how long a holder may take to send its first reply, which may only
// report that the request is queued. It detects holders that are cut off.
const ackTimeout = 250 * time.Millisecond

// readAfterPause is how long after a pause of the process the requests that arrived in it
// may be read.
const readAfterPause = 300 * time.Millisecond

// replyMargin is how long after the end of the holder's wait its reply may arrive.
const replyMargin = 150 * time.Millisecond

// reserveRemote requests a reservation on inst from the holder at addr.
func (b *Broker) reserveRemote(ctx context.Context, addr string, inst plank.Instance, r grant.Request) (plank.Instance, Reservation, error) {
	req := newReserveRequest(r, b.Clock.Now())
	req.Endpoint, req.Born = string(inst.ID), inst.Born.UnixMilli()
	reply, res, err := b.requestReservation(ctx, addr, req)
	if err != nil {
		return inst, nil, err
	}
	if res == nil {
		return inst, nil, noCapacity(reply.Reason, time.Duration(reply.RetryMicros)*time.Microsecond)
	}
	return b.grantedEngine(reply, res)
}

// grantedEngine returns the engine of a granted reservation. It releases the
// reservation if this VM does not know the engine.
func (b *Broker) grantedEngine(reply *wire.ReserveReply, res Reservation) (plank.Instance, Reservation, error) {
	inst, known := b.Chooser.View.Load().Instances[plank.EndpointID(reply.Endpoint)]
	if !known {
		res.Release()
		// The caller requests another reservation without this engine.
		return plank.Instance{ID: plank.EndpointID(reply.Endpoint)}, nil, noCapacity("the holder chose an engine that is not known here", 0)
	}
	return inst, res, nil
}

// ReserveAny implements Reserver. If the holder at addr selects an engine of another
// holder, it returns that holder's address, and the request is sent there.
func (b *Broker) ReserveAny(ctx context.Context, addr string, r AnyRequest) (plank.Instance, Reservation, error) {
	req := newReserveRequest(r.Request, b.Clock.Now())
	req.Service = string(r.Service)
	reply, res, err := b.requestReservation(ctx, addr, req)
	if err != nil {
		return plank.Instance{}, nil, err
	}
	if res != nil {
		return b.grantedEngine(reply, res)
	}
	inst, known := b.Chooser.View.Load().Instances[plank.EndpointID(reply.Endpoint)]
	if reply.Address != "" && known {
		return b.reserveRemote(ctx, reply.Address, inst, r.Request)
	}
	if !known {
		inst.ID = plank.EndpointID(reply.Endpoint) // empty if the holder selected none
	}
	return inst, nil, noCapacity(reply.Reason, time.Duration(reply.RetryMicros)*time.Microsecond)
}

// newReserveRequest returns the wire message of a request.
func newReserveRequest(r grant.Request, now time.Time) *wire.ReserveRequest {
	req := &wire.ReserveRequest{
		Request: string(r.ID), Adapter: r.Adapter.String(), Version: uint64(r.Version), Prompt: float64(r.Prompt), Output: float64(r.Output),
		Priority: uint32(max(0, r.Priority)), WaitMicros: r.Deadline.Sub(now).Microseconds(),
		TargetMicros: r.Target.Sub(now).Microseconds(), Parts: wireParts(r.Parts), MaxOutput: float64(r.MaxOutput),
	}
	req.GapMicros = r.MaxGap.Microseconds()
	for _, id := range r.Skip {
		req.Skip = append(req.Skip, string(id))
	}
	return req
}

// requestReservation sends a request to the holder at addr and waits for its final
// reply. The reservation is nil if none was granted.
func (b *Broker) requestReservation(ctx context.Context, addr string, req *wire.ReserveRequest) (*wire.ReserveReply, Reservation, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	s, err := b.Transport.Open(streamCtx, addr, &wire.Call{Body: &wire.Call_Reserve{Reserve: req}})
	if err != nil {
		cancel()
		b.Chooser.MarkUnresponsive(addr)
		return nil, nil, err
	}
	reply, err := receiveReply(s, time.Duration(req.WaitMicros)*time.Microsecond, func() { b.Chooser.MarkResponsive(addr) })
	if err == nil && reply.Granted {
		return reply, &remoteReservation{stream: s, cancel: cancel, version: plank.VersionNumber(reply.Version), log: b.Log}, nil
	}
	s.Close()
	cancel()
	switch {
	case ctx.Err() != nil:
		return nil, nil, noCapacity("no room in time", 0)
	case err == nil && reply.NotHeld:
		err = &grant.NotHeldError{Endpoint: plank.EndpointID(req.Endpoint)}
	}
	if err != nil {
		b.Chooser.MarkUnresponsive(addr)
		return nil, nil, &plank.UnavailableError{Target: "holder " + addr, Op: "reserve", Err: err}
	}
	return reply, nil, nil
}

// receiveReply returns the final reply to a reservation request, which the holder
// sends within wait. It calls onReply at the first reply.
func receiveReply(s *peer.Stream, wait time.Duration, onReply func()) (*wire.ReserveReply, error) {
	until := time.Now().Add(wait + replyMargin)
	reply := new(wire.ReserveReply)
	if err := s.SetDeadline(time.Now().Add(ackTimeout)); err != nil {
		return nil, err
	}
	err := s.Receive(reply)
	if err == nil {
		onReply()
	}
	if err != nil || !reply.Queued {
		return reply, err
	}
	if err := s.SetDeadline(until); err != nil {
		return nil, err
	}
	reply.Reset()
	return reply, s.Receive(reply)
}

// Probe reports whether the holder at addr answers requests.
func (b *Broker) Probe(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	s, err := b.Transport.Open(ctx, addr, &wire.Call{Body: &wire.Call_Reserve{Reserve: &wire.ReserveRequest{}}})
	if err != nil {
		return false
	}
	defer s.Close()
	return s.SetDeadline(time.Now().Add(ackTimeout)) == nil && s.Receive(new(wire.ReserveReply)) == nil
}

// A remoteReservation is a reservation held at a peer until its stream is closed.
type remoteReservation struct {
	stream  *peer.Stream
	cancel  context.CancelFunc
	version plank.VersionNumber
	log     *logrus.Entry
	stated  float64 // pace that the engine stated; 0 for none
}

// Version implements Reservation.
func (r *remoteReservation) Version() plank.VersionNumber { return r.version }

// MarkStarted implements Reservation.
func (r *remoteReservation) MarkStarted() {
	n := PaceReport{Stated: r.stated}.note()
	n.Began = true
	r.sendNote(n)
}

// MarkAdapterMissing implements Reservation.
func (r *remoteReservation) MarkAdapterMissing() { r.sendNote(&wire.ReserveNote{Missing: true}) }

// MarkFailed implements Reservation.
func (r *remoteReservation) MarkFailed(reached bool) {
	r.sendNote(&wire.ReserveNote{Failed: true, Unreached: !reached})
}

// sendNote sends a note on the call to the holder.
func (r *remoteReservation) sendNote(n *wire.ReserveNote) {
	err := r.stream.SetDeadline(time.Now().Add(ackTimeout))
	if err == nil {
		err = r.stream.Send(n)
	}
	if err != nil {
		// The holder takes the lost stream as the end of the call; the engine
		// still finishes it.
		r.log.WithError(err).Info("front: note on a reserved call not sent to the holder")
	}
}

// Release implements Reservation.
func (r *remoteReservation) Release() {
	r.stream.Close()
	r.cancel()
}

// ServeReserve serves a peer's reservation request. A granted reservation lasts until
// the peer closes the stream.
func (b *Broker) ServeReserve(req *wire.ReserveRequest, s *peer.Stream) {
	received := b.Clock.Now()
	if length, ago := b.LastPause(); ago < readAfterPause && length > time.Duration(req.WaitMicros)*time.Microsecond {
		// It may have waited in the socket for as long, and its caller no longer waits.
		(&replier{broker: b, stream: s}).sendFinal(&wire.ReserveReply{Reason: "the holder was paused", NotHeld: true})
		return
	}
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
	queued := time.AfterFunc(ackTimeout/5, replies.sendQueued)
	defer queued.Stop()
	now := b.Clock.Now()
	r := grant.Request{
		ID: plank.RequestID(req.Request), Adapter: plank.ParseAdapterRef(req.Adapter), Version: plank.VersionNumber(req.Version),
		Prompt: plank.Tokens(req.Prompt), Output: plank.Tokens(req.Output), Priority: int(req.Priority),
		Target: now.Add(time.Duration(req.TargetMicros) * time.Microsecond), Deadline: now.Add(time.Duration(req.WaitMicros) * time.Microsecond),
		Parts: promptParts(req.Parts), MaxOutput: plank.Tokens(req.MaxOutput),
	}
	r.MaxGap = time.Duration(max(0, req.GapMicros)) * time.Microsecond
	for _, id := range req.Skip {
		r.Skip = append(r.Skip, plank.EndpointID(id))
	}
	if req.Endpoint == "" {
		if reply := b.chooseEngine(req, r); reply != nil {
			replies.sendFinal(reply)
			return
		}
	}
	res, err := b.Local.Reserve(ctx, plank.EndpointID(req.Endpoint), time.UnixMilli(req.Born), r)
	var notHeld *grant.NotHeldError
	if err != nil {
		if ctx.Err() == nil {
			replies.sendFinal(&wire.ReserveReply{Reason: err.Error(), NotHeld: errors.As(err, &notHeld)})
		}
		return
	}
	defer res.Release()
	fields := logrus.Fields{
		"request": req.Request, "endpoint": res.Instance.ID, "adapter": req.Adapter, "granted": res.Granted, "reason": res.Reason, "version": res.Outcome.Version,
		"waited_ms": b.Clock.Now().Sub(received).Milliseconds(),
	}
	if res.Kept > 0 {
		fields["kept"] = res.Kept
	}
	b.Log.WithFields(fields).Info("grant: reservation request answered")
	replies.sendFinal(&wire.ReserveReply{Granted: res.Granted, Endpoint: string(res.Instance.ID), Version: uint64(res.Outcome.Version), Reason: res.Reason, RetryMicros: res.RetryAfter.Microseconds()})
	if !res.Granted {
		return
	}
	for n := range notes {
		b.handleNote(res, n)
	}
}

// handleNote processes a peer's note on its reserved call. In a large fleet each VM
// has few calls on each engine, so the holder collects failures from all VMs.
func (b *Broker) handleNote(res *grant.Reservation, n *wire.ReserveNote) {
	b.handleColdNote(res.Instance, n)
	b.recordNotedPace(res, n)
	switch id := res.Instance.ID; {
	case n.Began:
		res.MarkStarted()
		b.Chooser.Health.RecordSuccess(id)
	case n.Missing:
		res.MarkAdapterMissing()
	case n.Failed && n.Unreached:
		res.MarkFailed()
		b.Chooser.Health.RecordUnreachable(id)
	case n.Failed:
		res.MarkFailed()
		b.Chooser.Health.RecordFailure(id)
	}
}

// chooseEngine selects the engine of a request that names none and sets it in req.
// If another VM holds the engine, or no engine fits, it returns the final reply.
func (b *Broker) chooseEngine(req *wire.ReserveRequest, r grant.Request) *wire.ReserveReply {
	service := plank.ServiceID(req.Service)
	pool := b.Chooser.View.Load().Pool(service)
	if pool == nil {
		return &wire.ReserveReply{Reason: "no such service"}
	}
	call := pick.Call{Adapter: r.Adapter, Prompt: r.Prompt, Output: r.Output, Target: r.Target.Sub(b.Clock.Now()), MaxGap: r.MaxGap, Parts: r.Parts, Hash: evac.CallHash(r.ID)}
	c, ok := b.Chooser.Choose(service, pool, call, func(id plank.EndpointID) bool { return slices.Contains(r.Skip, id) })
	if !ok || !c.Engine.StateKnown {
		return &wire.ReserveReply{Reason: "no engine to ask", RetryMicros: noCapacityRetry.Microseconds()}
	}
	if b.Clock.Now().Add(c.Expected / 2).After(r.Deadline) {
		return &wire.ReserveReply{Reason: "no engine in time", RetryMicros: (c.Expected / 2).Microseconds()}
	}
	req.Endpoint, req.Born = string(c.Engine.Instance.ID), c.Engine.Instance.Born.UnixMilli()
	if c.State.Address != "" {
		return &wire.ReserveReply{Endpoint: req.Endpoint, Address: c.State.Address}
	}
	return nil
}

// A replier sends the replies to one reservation request in order.
type replier struct {
	broker *Broker

	mu        sync.Mutex
	stream    *peer.Stream
	finalSent bool
}

// sendQueued reports that the request is queued, unless the final reply was sent.
func (r *replier) sendQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finalSent {
		r.send(&wire.ReserveReply{Queued: true})
	}
}

// sendFinal sends the final reply.
func (r *replier) sendFinal(m *wire.ReserveReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalSent = true
	r.send(m)
}

// send sends a reply. An error is only logged, because the stream has failed for
// the peer as well. The lock is held.
func (r *replier) send(m *wire.ReserveReply) {
	if err := r.stream.Send(m); err != nil {
		r.broker.Log.WithError(err).Info("front: reservation reply not sent")
	}
}
