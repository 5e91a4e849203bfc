package entry

import (
	"sync"
	"time"
)

const (
	// routeGain is the weight of one answer in the means of its route.
	routeGain = 0.05
	// maxRoutes bounds the routes whose means are kept.
	maxRoutes = 4096
)

// routeStats keeps what answers of each route took. Its zero value is ready for
// use, and it is safe for concurrent use.
type routeStats struct {
	mu    sync.Mutex
	means map[string]routeMean
}

type routeMean struct {
	takes time.Duration // at the target
	size  float64       // bytes of the body
}

// expect returns the mean time at the target and the mean bytes of an answer;
// zero when none is known.
func (s *routeStats) expect(route string) (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.means[route]
	return m.takes, int(m.size)
}

func (s *routeStats) learn(route string, took time.Duration, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.means[route]
	if !ok {
		if s.means == nil || len(s.means) >= maxRoutes {
			s.means = make(map[string]routeMean)
		}
		m = routeMean{takes: took, size: float64(size)}
	}
	m.takes += time.Duration(routeGain * float64(took-m.takes))
	m.size += routeGain * (float64(size) - m.size)
	s.means[route] = m
}
