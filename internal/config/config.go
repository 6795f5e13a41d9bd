// Package config defines the daemon's settings: JSON with comments, strictly
// checked.
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

// A Config holds the settings of one daemon. Field names are those of the file.
type Config struct {
	VM     plank.VMID
	Domain plank.DomainID
	// Callers, Peers and Admin are the addresses to listen on, host:port.
	Callers string
	Peers   string
	Admin   string
	// Advertise is the address at which other VMs reach Peers; empty stands
	// for the address listened on.
	Advertise string
	// Platform is the address of the object API.
	Platform string
	// Seeds are peer addresses to try while the platform cannot tell any.
	Seeds []string
	// TLS secures connections between VMs. Without it PlainPeers must be set.
	TLS        TLS
	PlainPeers bool
	Logs       Logs
	Limits     Limits
	Loads      Loads
	Policies   Policies
}

// A TLS names PEM files, which are read again when they change.
type TLS struct {
	Cert string
	Key  string
	CA   string // signs all VMs' certificates
}

// A Logs sets the form of logs.
type Logs struct {
	Format string // Text or JSON
	Level  string // debug, info, warn or error
}

// A Limits bounds callers.
type Limits struct {
	MaxBodyBytes       int64
	MaxHeaderBytes     int
	DefaultTokens      int
	HeaderTimeoutMs    int // for the request headers
	BodyTimeoutMs      int // for the whole request
	WriteTimeoutMs     int // for one chunk of an answer
	ShutdownTimeoutSec int // for requests in flight at a planned stop
}

// A Loads bounds adapter loads over the whole fleet.
type Loads struct {
	PerSecond float64
	Burst     float64
}

// A Policies names the policy of each decision.
type Policies struct {
	Router  string // affin, least or two
	Evictor string // value or lru
	Order   string // value, deadline or fifo
	Queue   string // fair or fifo
	Shares  string // lend or static
}

// Default returns the settings that hold where a file says nothing.
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

// An Error reports one fault of a settings file.
type Error struct {
	File   string
	Line   int // 0 when the fault has no place in the file
	Field  string
	Detail string
}

// Error returns the fault as one line.
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

// InFile returns the fault placed in a settings file, for faults that show only when
// the settings are used, such as an address in use.
func (e *Error) InFile(path string) *Error {
	out := *e
	out.File = path
	if text, err := os.ReadFile(path); err == nil {
		out.Line = fieldLine(text, e.Field)
	}
	return &out
}

// Load reads and checks a settings file. It returns an *Error.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &Error{File: path, Detail: err.Error()}
	}
	return Parse(path, text)
}

// Parse reads and checks settings. path is for errors only.
func Parse(path string, text []byte) (Config, error) {
	cfg := Default()
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return cfg, &Error{File: path, Detail: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cfg); err != nil {
		return cfg, decodeError(path, plain, dec, err)
	}
	for _, f := range cfg.faults() {
		return cfg, &Error{File: path, Line: fieldLine(plain, f.Field), Field: f.Field, Detail: f.Detail}
	}
	return cfg, nil
}

// decodeError places a decoding error in the file.
func decodeError(path string, text []byte, dec *json.Decoder, err error) *Error {
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

// fieldLine returns the line on which the last part of a field name stands.
func fieldLine(text []byte, field string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	i := bytes.Index(text, []byte(`"`+name+`"`))
	if i < 0 {
		return 0
	}
	return 1 + bytes.Count(text[:i], []byte("\n"))
}

// faults lists what is wrong with the values.
func (c *Config) faults() []Error {
	var faults []Error
	fault := func(field, detail string) { faults = append(faults, Error{Field: field, Detail: detail}) }
	if c.VM == "" || strings.ContainsAny(string(c.VM), "/ ") {
		fault("VM", "must be set, without / and blanks")
	}
	if c.Domain == "" || strings.ContainsAny(string(c.Domain), "/ ") {
		fault("Domain", "must be set, without / and blanks")
	}
	addresses := []struct{ field, value string }{
		{"Callers", c.Callers}, {"Peers", c.Peers}, {"Admin", c.Admin}, {"Platform", c.Platform},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			fault(a.field, fmt.Sprintf("%q is not host:port", a.value))
		}
	}
	for _, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			fault("Seeds", fmt.Sprintf("%q is not host:port", seed))
		}
	}
	secure := c.TLS.Cert != "" && c.TLS.Key != "" && c.TLS.CA != ""
	if secure == c.PlainPeers {
		fault("PlainPeers", "set either all of TLS.Cert, TLS.Key and TLS.CA, or PlainPeers")
	}
	return append(faults, c.rangeFaults()...)
}

// rangeFaults lists values out of range.
func (c *Config) rangeFaults() []Error {
	var faults []Error
	oneOf := func(field, value string, allowed ...string) {
		if !slices.Contains(allowed, value) {
			faults = append(faults, Error{Field: field, Detail: fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))})
		}
	}
	within := func(field string, value, low, high float64) {
		if value < low || value > high {
			faults = append(faults, Error{Field: field, Detail: fmt.Sprintf("%g is not within %g and %g", value, low, high)})
		}
	}
	oneOf("Logs.Format", c.Logs.Format, "Text", "JSON")
	oneOf("Logs.Level", c.Logs.Level, "debug", "info", "warn", "error")
	oneOf("Policies.Router", c.Policies.Router, "affin", "least", "two")
	oneOf("Policies.Evictor", c.Policies.Evictor, "value", "lru")
	oneOf("Policies.Order", c.Policies.Order, "value", "deadline", "fifo")
	oneOf("Policies.Queue", c.Policies.Queue, "fair", "fifo")
	oneOf("Policies.Shares", c.Policies.Shares, "lend", "static")
	within("Limits.MaxBodyBytes", float64(c.Limits.MaxBodyBytes), 1024, 64<<20)
	within("Limits.MaxHeaderBytes", float64(c.Limits.MaxHeaderBytes), 1024, 1<<20)
	within("Limits.DefaultTokens", float64(c.Limits.DefaultTokens), 1, 100_000)
	within("Limits.HeaderTimeoutMs", float64(c.Limits.HeaderTimeoutMs), 100, 600_000)
	within("Limits.BodyTimeoutMs", float64(c.Limits.BodyTimeoutMs), 100, 600_000)
	within("Limits.WriteTimeoutMs", float64(c.Limits.WriteTimeoutMs), 100, 600_000)
	within("Limits.ShutdownTimeoutSec", float64(c.Limits.ShutdownTimeoutSec), 1, 3600)
	within("Loads.PerSecond", c.Loads.PerSecond, 0.01, 1e6)
	within("Loads.Burst", c.Loads.Burst, 1, 1e6)
	return faults
}

// Example is a settings file that Parse accepts, with every field explained.
const Example = `// Settings of one knapweedplank daemon.
{
  // Name of this VM, unique over the fleet, as on the platform's list of VMs.
  "VM": "entry-a-1",
  // Failure domain that this VM lies in.
  "Domain": "bc-south-a",
  // Addresses to listen on. Admin must not be reachable by callers.
  "Callers": "127.0.0.1:8080",
  "Peers": "127.0.0.1:8081",
  "Admin": "127.0.0.1:8082",
  // Address at which other VMs reach Peers, where it differs.
  "Advertise": "",
  // The platform's object API.
  "Platform": "127.0.0.1:9000",
  // Peer addresses to try while the platform cannot be reached.
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
  // Adapter loads over the whole fleet.
  "Loads": {"PerSecond": 2, "Burst": 8},
  // The second name of each is the baseline.
  "Policies": {
    "Router": "affin",  // affin, least or two
    "Evictor": "value", // value or lru
    "Order": "value",   // value, deadline or fifo
    "Queue": "fair",    // fair or fifo
    "Shares": "lend",   // lend or static
  },
}
`
