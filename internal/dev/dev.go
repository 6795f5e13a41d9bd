package dev

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/daemon"
	"knapweedplank.org/plank/internal/stand/model"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/stand/plain"
	"knapweedplank.org/plank/internal/stand/weight"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// sampleEngines is the number of simulated engines.
const sampleEngines = 2

// startTimeout bounds the wait until the daemon is serving.
const startTimeout = 20 * time.Second

// Start runs the simulated systems and a daemon that listens for callers on addr. It
// returns once the daemon serves the sample. The simulated systems run until the
// process ends.
func Start(addr string, log *logrus.Logger) (*daemon.Daemon, error) {
	platform, err := serve(objapi.New())
	if err != nil {
		return nil, err
	}
	weights, err := serve(weight.New(weight.Options{LoadMillis: 250, FullSpeed: 8, PerSecond: 2}))
	if err != nil {
		return nil, err
	}
	var engines []string
	for range sampleEngines {
		opts := model.DefaultOptions()
		opts.Weights = weights
		opts.Fencing = true
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen")
		}
		go func() { _ = model.Serve(model.New(opts), ln) }()
		engines = append(engines, ln.Addr().String())
	}
	bookings, err := serve(plain.New())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if _, err := notes.NewChain(store.New(platform, nil)).Append(ctx, Sample(engines, bookings), "dev"); err != nil {
		return nil, err
	}
	cfg := config.Default()
	cfg.VM, cfg.Domain, cfg.Platform, cfg.PlainPeers = "dev-1", sampleDomain, platform, true
	cfg.Callers, cfg.Peers, cfg.Admin = addr, "127.0.0.1:0", "127.0.0.1:0"
	d, err := daemon.New(cfg, log, daemon.Hooks{})
	if err != nil {
		return nil, err
	}
	return d, d.WaitServing(ctx, sampleEngines)
}

// serve runs a simulated system and returns its address.
func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// SampleModel returns one of the models in the sample release note.
func SampleModel() plank.Model { return plank.Model{Adapter: "quotes-1", Version: "1"} }
