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

// decodeSuspect decodes a peer's report of a request that crashed an endpoint. A
// fingerprint that is not in hexadecimal matches no request.
func decodeSuspect(x *wire.Suspect) poison.Entry {
	fp, err := hex.DecodeString(x.Print)
	if err != nil {
		fp = []byte(x.Print)
	}
	return poison.Entry{
		Print: plank.Fingerprint(fp), Crashes: int(x.Crashes), Quarantined: x.Quarantined, Until: time.Unix(x.UntilUnix, 0),
	}
}
