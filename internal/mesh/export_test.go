package mesh

import "time"

// CountReach gives the tests access to countReach.
var CountReach = countReach

// SetForget changes how long a VM that does not answer is tried. It is to be
// called before the first contact.
func (m *Mesh) SetForget(d time.Duration) { m.forget = d }
