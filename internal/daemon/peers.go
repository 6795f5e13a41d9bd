package daemon

import (
	"cmp"
	"context"
	"slices"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines how a daemon answers other VMs, and how it borrows.

var _ peer.Handler = (*Daemon)(nil)

// Serve implements peer.Handler.
func (d *Daemon) Serve(call *wire.Call, s *peer.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Heartbeat:
		if b := d.beater.Load(); b != nil {
			b.Serve(body.Heartbeat, s)
		}
	case *wire.Call_Borrow:
		d.serveBorrow(body.Borrow, s)
	case *wire.Call_Notes:
		d.feed.ServeNotes(body.Notes, s)
	case *wire.Call_Forward:
		ctx, cancel := s.Context()
		defer cancel()
		d.relay.Serve(ctx, body.Forward, s)
	}
}

// serveBorrow lends a part of this VM's share. The loan is deducted before the
// answer goes out, so a lost answer loses tokens and never doubles them.
func (d *Daemon) serveBorrow(req *wire.BorrowRequest, s *peer.Stream) {
	var loan limit.Loan
	// A loan must end before another VM may take this VM's share over.
	if !d.leaving.Load() && d.clock.Now().Before(d.valid()) {
		loan = d.book.Lend(plank.WorkspaceID(req.GetWorkspace()), plank.Tokens(req.GetTokens()))
	}
	_ = s.Send(&wire.BorrowReply{SharePpm: int64(loan.Share), Tokens: float64(loan.Tokens), TtlMillis: limit.LoanDuration.Milliseconds()})
}

// A lender implements limit.Lender over the peers.
type lender struct{ daemon *Daemon }

var _ limit.Lender = (*lender)(nil)

// Lenders implements limit.Lender. VMs of the own failure domain come first
// among those with as much to spare.
func (l *lender) Lenders(ws plank.WorkspaceID) []plank.VMID {
	var peers []member.Peer
	for _, p := range l.daemon.control.Snapshot().Peers {
		if p.SpareTokens[ws] >= 1 && !p.Leaving {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b member.Peer) int { return cmp.Compare(b.SpareTokens[ws], a.SpareTokens[ws]) })
	vms := make([]plank.VMID, len(peers))
	for i, p := range peers {
		vms[i] = p.VM
	}
	return vms
}

// Borrow implements limit.Lender.
func (l *lender) Borrow(ctx context.Context, vm plank.VMID, ws plank.WorkspaceID, tokens plank.Tokens) (limit.Loan, error) {
	address := ""
	for _, p := range l.daemon.control.Snapshot().Peers {
		if p.VM == vm {
			address = p.Address
		}
	}
	if address == "" {
		return limit.Loan{}, &plank.UnavailableError{Target: "VM " + string(vm), Op: "borrow"}
	}
	var reply wire.BorrowReply
	call := &wire.Call{Body: &wire.Call_Borrow{Borrow: &wire.BorrowRequest{Vm: string(l.daemon.cfg.VM), Workspace: string(ws), Tokens: float64(tokens)}}}
	if err := l.daemon.hub.Call(ctx, address, call, &reply); err != nil {
		return limit.Loan{}, err
	}
	if reply.GetTtlMillis() < limit.LoanDuration.Milliseconds() {
		// A lender of another version would take the share back too early.
		return limit.Loan{}, nil
	}
	return limit.Loan{Share: plank.PPM(reply.GetSharePpm()), Tokens: plank.Tokens(reply.GetTokens())}, nil
}
