package trace_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/trace"
)

const frontLog = `{"level":"info","msg":"node: started","time":"2026-12-04T10:00:00.000Z","vm":"vm-a"}
   1.234 vm-a {"msg":"front: admission","request":"r1","time":"2026-12-04T10:00:01.000Z","vm":"vm-a","ok":true}
{"msg":"front: admission","request":"r2","time":"2026-12-04T10:00:01.000Z","vm":"vm-a","ok":true}
{"msg":"front: finished","request":"r1","time":"2026-12-04T10:00:01.250Z","vm":"vm-a","outcome":"refused","code":"no_endpoint"}
{"msg":"truncated r1
`

// The clock of the lease holder's VM is one minute ahead.
const holderLog = `{"msg":"grant: reservation request answered","request":"r1","time":"2026-12-04T10:01:01.100Z","vm":"vm-b","reason":"no room in time"}
`

func TestStory(t *testing.T) {
	s := trace.New("r1")
	assert.NilError(t, s.Read(strings.NewReader(holderLog)))
	assert.NilError(t, s.Read(strings.NewReader(frontLog)))
	var out strings.Builder
	assert.NilError(t, s.Write(&out))
	assert.Equal(t, out.String(), `vm-a
     0.000 s  front: admission ok=true
     0.250 s  front: finished code=no_endpoint outcome=refused
vm-b
     0.000 s  grant: reservation request answered reason=no room in time
3 lines, 1 unreadable
`)
}
