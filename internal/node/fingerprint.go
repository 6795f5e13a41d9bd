package node

import (
	"encoding/hex"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/wire"
)

// formatFingerprint returns a fingerprint in hexadecimal.
func formatFingerprint(fp plank.Fingerprint) string { return hex.EncodeToString([]byte(fp)) }

// encodeObservation encodes an observation that is sent at now.
func encodeObservation(o poison.Observation, now time.Time) *wire.CrashObservation {
	return &wire.CrashObservation{
		Part: string(o.Part), Endpoint: string(o.Crash.Endpoint), Born: o.Crash.Born, Print: formatFingerprint(o.Print),
		BegunBefore: o.BegunBefore, Cleared: o.Cleared, AgeMillis: now.Sub(o.At).Milliseconds(),
	}
}

// decodeObservation decodes an observation that was received at now.
func decodeObservation(x *wire.CrashObservation, now time.Time) poison.Observation {
	return poison.Observation{
		Part: plank.PartID(x.Part), Crash: plank.Run{Endpoint: plank.EndpointID(x.Endpoint), Born: x.Born}, Print: decodeFingerprint(x.Print),
		BegunBefore: x.BegunBefore, Cleared: x.Cleared, At: now.Add(-time.Duration(x.AgeMillis) * time.Millisecond),
	}
}

// decodeFingerprint decodes a fingerprint in hexadecimal. One that is not matches no
// request.
func decodeFingerprint(text string) plank.Fingerprint {
	fp, err := hex.DecodeString(text)
	if err != nil {
		fp = []byte(text)
	}
	return plank.Fingerprint(fp)
}
