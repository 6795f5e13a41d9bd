//go:build review

package stand

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The case of settings files that name another address of the store: one of four machines gets
// SIGHUP, a share of 0.25, and the files of the others change without a signal.

const (
	movedStore = "127.40.200.8:0"
	// nextKey is the key that replaces the tenant's first one.
	nextKey = "n2ctnfzs989anu6wsjnb"
)

func playStoreMove(p *play) (verdict, error) {
	book := route("book", "non_idempotent", plainService, 1, 4000)
	p.routes = []map[string]any{book, route("old", "idempotent", plainService, 2, 4000)}
	p.configure()
	serve := func(rw http.ResponseWriter, a *arrival) {
		if a.work(10 * time.Millisecond) {
			fmt.Fprintf(rw, "the answer to %s", a.id)
		}
	}
	for _, zone := range []string{"a", "b"} {
		if err := p.addWorker(&worker{zone: zone, service: plainService, serve: serve}); err != nil {
			return verdict{}, err
		}
	}
	for _, zone := range []string{"a", "a", "b", "b"} {
		if err := p.addDaemon(zone); err != nil {
			return verdict{}, err
		}
	}
	if err := p.startDaemons(); err != nil {
		return verdict{}, err
	}
	if err := p.warmUp(func() request { return request{method: http.MethodGet, path: "/old/2f"} }); err != nil {
		return verdict{}, err
	}
	if p.trouble {
		if err := p.moveStore(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(contact + time.Second)
	p.routes = []map[string]any{book, route("new", "idempotent", plainService, 2, 4000)}
	p.keys = []string{nextKey}
	p.configure()
	time.Sleep(configApply + time.Second)
	asks := []struct {
		request
		isAllowed bool // by the new configuration
	}{
		{request{method: http.MethodGet, path: "/new/2f", key: nextKey}, true},
		{request{method: http.MethodGet, path: "/old/2f", key: key}, false},
		{request{method: http.MethodPost, path: "/book/2f", key: key, body: "order"}, false},
	}
	wrong, sent := 0, 0
	for range 10 {
		for _, d := range p.daemons {
			for _, ask := range asks {
				a := d.send(ask.request)
				sent++
				isServed := a.status == http.StatusOK
				isDenied := a.status == http.StatusUnauthorized || a.status == http.StatusNotFound
				if ask.isAllowed && isDenied || !ask.isAllowed && isServed {
					wrong++
					p.rec.note("%s, %s %s with key %s, allowed by version %d: %t; the client gets %v", d.name, ask.method, ask.path, ask.key, p.version, ask.isAllowed, a)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return verdict{
		broken: wrong > 0,
		reason: fmt.Sprintf("later than config_apply_ms after version %d, %d of %d requests were handled as only the version before allows", p.version, wrong, sent),
	}, nil
}

// moveStore serves the store at another address too, names that in the settings files, sends
// SIGHUP to one machine, and leaves the first address some time later.
func (p *play) moveStore() error {
	addr, server, err := p.serveStore(movedStore)
	if err != nil {
		return err
	}
	p.rec.note("the store is served at another address too")
	for _, d := range p.daemons {
		d.storeAddr = addr
		if err := d.writeSettings(); err != nil {
			return err
		}
		p.rec.note("the settings file of %s names that address", d.name)
	}
	if err := p.daemons[0].signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(2 * contact)
	p.rec.note("the store is no longer served at the first address")
	err = p.storeHTTP.Close()
	p.storeHTTP = server
	return err
}
