package move

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Evaluator returns the host that evaluates a move, chosen from the live hosts
// by rendezvous (highest random weight) hashing. It returns "" when there is no
// host. Two hosts that both evaluate a move for a while do no harm.
func Evaluator(move mesh.MoveID, hosts []mesh.HostID) mesh.HostID {
	var best mesh.HostID
	var bestWeight uint64
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(string(move)))
	for _, h := range hosts {
		binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(string(h)))
		weight := xxhash.Sum64(b[:])
		if best == "" || weight > bestWeight || (weight == bestWeight && h < best) {
			best, bestWeight = h, weight
		}
	}
	return best
}
