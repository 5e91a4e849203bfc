package move

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Evaluator returns the host that judges a move, chosen from the live hosts of
// a data centre by rendezvous (highest random weight) hashing. It returns ""
// when there is no host. Two hosts that both judge for a while do no harm.
func Evaluator(move mesh.MoveID, hosts []mesh.HostID) mesh.HostID {
	var best mesh.HostID
	var weight uint64
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(string(move)))
	for _, h := range hosts {
		binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(string(h)))
		w := xxhash.Sum64(b[:])
		if best == "" || w > weight || (w == weight && h < best) {
			best, weight = h, w
		}
	}
	return best
}
