package poison

// maxRecent bounds each of the two generations of a recentSet.
const maxRecent = 4096

// A recentSet holds the keys that were added lately: the last maxRecent, and up to as many
// before them.
type recentSet[K comparable] struct {
	current, earlier map[K]struct{}
}

// add adds a key.
func (s *recentSet[K]) add(key K) {
	if s.current == nil || len(s.current) >= maxRecent {
		s.current, s.earlier = make(map[K]struct{}), s.current
	}
	s.current[key] = struct{}{}
}

// has reports whether the set holds a key.
func (s *recentSet[K]) has(key K) bool {
	if _, ok := s.current[key]; ok {
		return true
	}
	_, ok := s.earlier[key]
	return ok
}
