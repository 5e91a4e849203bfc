package entry

import (
	"sync"
	"time"
)

const (
	// ewmaWeight is the weight of one response in the moving averages of its
	// route.
	ewmaWeight = 0.05
	// maxRoutes bounds the routes for which averages or longest timeouts are kept.
	// Those of all routes are discarded when there are more.
	maxRoutes = 4096
)

// routeStats holds moving averages (EWMA) of the service time and the response
// size of each route. Its zero value is ready for use, and it is safe for
// concurrent use.
type routeStats struct {
	mu      sync.Mutex
	byRoute map[string]routeMeans
}

type routeMeans struct {
	meanServiceTime time.Duration // at the target
	meanBodyBytes   float64
}

// means returns the mean service time and the mean bytes of a response body;
// zero for a route without responses.
func (s *routeStats) means(route string) (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byRoute[route]
	return m.meanServiceTime, int(m.meanBodyBytes)
}

func (s *routeStats) record(route string, serviceTime time.Duration, bodyBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byRoute[route]
	if !ok {
		if s.byRoute == nil || len(s.byRoute) >= maxRoutes {
			s.byRoute = make(map[string]routeMeans)
		}
		m = routeMeans{meanServiceTime: serviceTime, meanBodyBytes: float64(bodyBytes)}
	}
	m.meanServiceTime += time.Duration(ewmaWeight * float64(serviceTime-m.meanServiceTime))
	m.meanBodyBytes += ewmaWeight * (float64(bodyBytes) - m.meanBodyBytes)
	s.byRoute[route] = m
}
