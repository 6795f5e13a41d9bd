package pick_test

import (
	"fmt"
	"testing"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pick"
)

// BenchmarkBestEngine measures a choice among the engines of the largest holder, which is to
// take less than 50 microseconds.
func BenchmarkBestEngine(b *testing.B) {
	for _, learned := range []bool{false, true} {
		b.Run(fmt.Sprintf("learned=%v", learned), func(b *testing.B) {
			engines := make([]pick.Engine, 140)
			for i := range engines {
				engines[i] = engine(fmt.Sprintf("engine-%d", i), func(e *pick.Engine) {
					e.Running, e.Backlog, e.PrefillRate = i%9, plank.Tokens(i%5*4000), float64(i%7*3000)
					e.RecentlyResident = i%11 == 0
					if learned {
						e.Pace = 0.8 + float64(i%4)*0.4
						benchLearned(e, i)
					}
				})
			}
			call := longPrompt
			call.MaxGap = 300 * time.Millisecond
			for b.Loop() {
				pick.BestEngine(engines, call, none)
			}
		})
	}
}

// benchLearned sets what else is known of an engine whose pace is learned.
func benchLearned(e *pick.Engine, i int) {
	e.EventTokens, e.StrictGaps, e.StrictGap = 5, float64(i%6), 300*time.Millisecond
}
