package traffic

import (
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Splitter distributes the calls of routes over the services of their splits by
// smooth weighted round robin, so that short series of calls follow the weights
// too. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]int // current weights, by route name
}

// Pick returns the service for the next call of the route.
func (s *Splitter) Pick(r *Route) mesh.ServiceName {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if len(credit) != len(r.Split) {
		if s.credit == nil {
			s.credit = make(map[string][]int)
		}
		credit = make([]int, len(r.Split))
		s.credit[r.Name] = credit
	}
	best, total := 0, 0
	for i, part := range r.Split {
		credit[i] += part.Weight
		total += part.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Split[best].Service
}
