// Package config reads and validates the daemon's settings, which are JSON with
// comments. Unknown fields are errors.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
	"knapweedplank.org/plank"
)

// A Config holds the settings of one daemon. The fields have the names that they
// have in the settings file.
type Config struct {
	VM     plank.VMID
	Domain plank.DomainID
	// Callers, Peers and Admin are the addresses to listen on, host:port.
	Callers string
	Peers   string
	Admin   string
	// Advertise is the address at which other VMs reach Peers. If empty, it is the
	// address that the daemon listens on.
	Advertise string
	// Platform is the address of the object API.
	Platform string
	// Seeds are addresses of peers that receive heartbeats even if the platform has
	// not listed them, so that VMs find each other while it is unavailable.
	Seeds []string
	// TLS secures connections between VMs. Without it PlainPeers must be set, and
	// with it PlainPeers must not be set.
	TLS        TLS
	PlainPeers bool
	Logs       Logs
	Limits     Limits
	Loads      Loads
	Policies   Policies
}

// TLS holds the paths of PEM files, which are read again when they change.
type TLS struct {
	Cert string
	Key  string
	CA   string // the CA that signs the certificates of all VMs
}

// Logs sets the format and level of the logs.
type Logs struct {
	Format string // Text or JSON
	Level  string // debug, info, warn or error
}

// Limits holds the limits on callers' requests.
type Limits struct {
	MaxBodyBytes       int64
	MaxHeaderBytes     int
	DefaultTokens      int // output tokens of a request that names no maximum
	HeaderTimeoutMs    int // to read the request headers
	BodyTimeoutMs      int // to read the whole request
	WriteTimeoutMs     int // to write one chunk of a response
	ShutdownTimeoutSec int // for a graceful shutdown, including requests in flight
}

// Loads limits the adapter loads of the whole fleet.
type Loads struct {
	PerSecond float64
	Burst     float64 // loads
}

// Policies holds the name of the policy for each decision.
type Policies struct {
	Router  string // affin, least or two
	Evictor string // value or lru
	Order   string // value, deadline or fifo
	Queue   string // fair or fifo
	Shares  string // lend or static
}

// Default returns the settings that apply to fields which are not in the file.
func Default() Config {
	return Config{
		Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Admin: "127.0.0.1:8082",
		Logs: Logs{Format: "Text", Level: "info"},
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, DefaultTokens: 256,
			HeaderTimeoutMs: 5000, BodyTimeoutMs: 20_000, WriteTimeoutMs: 10_000, ShutdownTimeoutSec: 60,
		},
		Loads:    Loads{PerSecond: 2, Burst: 8},
		Policies: Policies{Router: "affin", Evictor: "value", Order: "value", Queue: "fair", Shares: "lend"},
	}
}

// An Error describes one error in a settings file.
type Error struct {
	File   string
	Line   int // 0 if unknown
	Field  string
	Detail string
}

// Error returns the error as one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Detail)
	return b.String()
}

// InFile returns the error with the file and line of its field in the settings file
// at path. It is for errors that occur only when the settings are used, such as an
// address in use.
func (e *Error) InFile(path string) *Error {
	out := *e
	out.File = path
	if text, err := os.ReadFile(path); err == nil {
		out.Line = fieldLine(text, e.Field)
	}
	return &out
}

// Load reads and validates a settings file. Errors are of type *Error.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &Error{File: path, Detail: err.Error()}
	}
	return Parse(path, text)
}

// Parse decodes and validates settings. Errors are of type *Error; path is used
// only in these.
func Parse(path string, text []byte) (Config, error) {
	cfg := Default()
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return cfg, &Error{File: path, Detail: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cfg); err != nil {
		return cfg, newDecodeError(path, standard, dec, err)
	}
	for _, e := range cfg.validate() {
		return cfg, &Error{File: path, Line: fieldLine(standard, e.Field), Field: e.Field, Detail: e.Detail}
	}
	return cfg, nil
}

// newDecodeError returns the *Error for an error of dec, with field and line.
func newDecodeError(path string, text []byte, dec *json.Decoder, err error) *Error {
	e := &Error{File: path, Detail: strings.TrimPrefix(err.Error(), "json: ")}
	offset := dec.InputOffset()
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		offset = typeErr.Offset
		e.Field = typeErr.Field
		e.Detail = fmt.Sprintf("got a %s, want a %s", typeErr.Value, typeErr.Type)
	}
	if name, ok := strings.CutPrefix(e.Detail, "unknown field "); ok {
		e.Field = strings.Trim(name, `"`)
		e.Detail = "unknown field"
		e.Line = fieldLine(text, e.Field)
		return e
	}
	e.Line = 1 + bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n"))
	return e
}

// fieldLine returns the line of the first field whose name is the last part of the
// given one, or 0 if there is none.
func fieldLine(text []byte, field string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	i := bytes.Index(text, []byte(`"`+name+`"`))
	if i < 0 {
		return 0
	}
	return 1 + bytes.Count(text[:i], []byte("\n"))
}

// validate returns an error for each invalid value.
func (c *Config) validate() []Error {
	var errs []Error
	add := func(field, detail string) { errs = append(errs, Error{Field: field, Detail: detail}) }
	if c.VM == "" || strings.ContainsAny(string(c.VM), "/ ") {
		add("VM", "must be set, without / and blanks")
	}
	if c.Domain == "" || strings.ContainsAny(string(c.Domain), "/ ") {
		add("Domain", "must be set, without / and blanks")
	}
	addresses := []struct{ field, value string }{
		{"Callers", c.Callers}, {"Peers", c.Peers}, {"Admin", c.Admin}, {"Platform", c.Platform},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			add(a.field, fmt.Sprintf("%q is not host:port", a.value))
		}
	}
	for _, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			add("Seeds", fmt.Sprintf("%q is not host:port", seed))
		}
	}
	tlsSet := c.TLS.Cert != "" && c.TLS.Key != "" && c.TLS.CA != ""
	if tlsSet == c.PlainPeers {
		add("PlainPeers", "set either all of TLS.Cert, TLS.Key and TLS.CA, or PlainPeers")
	}
	return append(errs, c.validateRanges()...)
}

// validateRanges returns an error for each value that is out of range or not one of
// those allowed.
func (c *Config) validateRanges() []Error {
	var errs []Error
	oneOf := func(field, value string, allowed ...string) {
		if !slices.Contains(allowed, value) {
			errs = append(errs, Error{Field: field, Detail: fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))})
		}
	}
	inRange := func(field string, value, low, high float64) {
		if value < low || value > high {
			errs = append(errs, Error{Field: field, Detail: fmt.Sprintf("%g is not within %g and %g", value, low, high)})
		}
	}
	oneOf("Logs.Format", c.Logs.Format, "Text", "JSON")
	oneOf("Logs.Level", c.Logs.Level, "debug", "info", "warn", "error")
	oneOf("Policies.Router", c.Policies.Router, "affin", "least", "two")
	oneOf("Policies.Evictor", c.Policies.Evictor, "value", "lru")
	oneOf("Policies.Order", c.Policies.Order, "value", "deadline", "fifo")
	oneOf("Policies.Queue", c.Policies.Queue, "fair", "fifo")
	oneOf("Policies.Shares", c.Policies.Shares, "lend", "static")
	inRange("Limits.MaxBodyBytes", float64(c.Limits.MaxBodyBytes), 1024, 64<<20)
	inRange("Limits.MaxHeaderBytes", float64(c.Limits.MaxHeaderBytes), 1024, 1<<20)
	inRange("Limits.DefaultTokens", float64(c.Limits.DefaultTokens), 1, 100_000)
	inRange("Limits.HeaderTimeoutMs", float64(c.Limits.HeaderTimeoutMs), 100, 600_000)
	inRange("Limits.BodyTimeoutMs", float64(c.Limits.BodyTimeoutMs), 100, 600_000)
	inRange("Limits.WriteTimeoutMs", float64(c.Limits.WriteTimeoutMs), 100, 600_000)
	inRange("Limits.ShutdownTimeoutSec", float64(c.Limits.ShutdownTimeoutSec), 1, 3600)
	inRange("Loads.PerSecond", c.Loads.PerSecond, 0.01, 1e6)
	inRange("Loads.Burst", c.Loads.Burst, 1, 1e6)
	return errs
}

// Example is a settings file with comments. Parse accepts it.
const Example = `// Settings of one knapweedplank daemon.
{
  // Name of this VM, unique in the fleet, as in the platform's list of VMs.
  "VM": "entry-a-1",
  // Failure domain that this VM is in.
  "Domain": "bc-south-a",
  // Addresses to listen on. Admin must not be reachable by callers.
  "Callers": "127.0.0.1:8080",
  "Peers": "127.0.0.1:8081",
  "Admin": "127.0.0.1:8082",
  // Address at which other VMs reach Peers, if it differs.
  "Advertise": "",
  // The platform's object API.
  "Platform": "127.0.0.1:9000",
  // Addresses of peers to contact while the platform is unavailable.
  "Seeds": ["127.0.0.2:8081", "127.0.0.3:8081"],
  // Mutual TLS between VMs; the files are read again when they change.
  // "TLS": {"Cert": "vm.pem", "Key": "vm.key", "CA": "ca.pem"},
  "PlainPeers": true,
  // Format is Text or JSON; Level is debug, info, warn or error.
  "Logs": {"Format": "Text", "Level": "info"},
  "Limits": {
    "MaxBodyBytes": 1048576,
    "MaxHeaderBytes": 32768,
    "DefaultTokens": 256,
    "HeaderTimeoutMs": 5000,
    "BodyTimeoutMs": 20000,
    "WriteTimeoutMs": 10000,
    "ShutdownTimeoutSec": 60,
  },
  // Limit on the adapter loads of the whole fleet.
  "Loads": {"PerSecond": 2, "Burst": 8},
  // The second name listed for each is the baseline in load experiments.
  "Policies": {
    "Router": "affin",  // affin, least or two
    "Evictor": "value", // value or lru
    "Order": "value",   // value, deadline or fifo
    "Queue": "fair",    // fair or fifo
    "Shares": "lend",   // lend or static
  },
}
`
