package traffic

import (
	"crypto/subtle"
	"encoding/binary"
	"strconv"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// teamTable finds teams by their keys. Its buckets hold the digests that begin with
// the same eight bytes.
type teamTable map[uint64][]teamKey

type teamKey struct {
	digest KeyDigest
	team   *Team
}

func newTeamTable(teams []Team) teamTable {
	table := make(teamTable)
	for i := range teams {
		for _, digest := range teams[i].Keys {
			table[digest.bucket()] = append(table[digest.bucket()], teamKey{digest, &teams[i]})
		}
	}
	return table
}

func (d *KeyDigest) bucket() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// HasTeams reports whether the configuration has teams.
func (m *Matcher) HasTeams() bool { return m.hasTeams }

// NeedsKey reports whether a call of the route needs the key of a team.
func (m *Matcher) NeedsKey(r *Route) bool { return m.hasTeams && !r.Public }

// Team returns the team that holds the key, or nil.
func (m *Matcher) Team(key string) *Team {
	if len(m.teams) == 0 || key == "" {
		return nil
	}
	digest := DigestKey(key)
	var found *Team
	for _, k := range m.teams[digest.bucket()] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			found = k.team
		}
	}
	return found
}

// checkTeams adds the errors of the teams. Findings never show a key or its digest.
func (c *Config) checkTeams(add func(place, message, suggestion string)) {
	names := make(map[mesh.TeamName]bool, len(c.Teams))
	holders := make(map[KeyDigest]mesh.TeamName)
	empty := DigestKey("")
	for i := range c.Teams {
		t := &c.Teams[i]
		place := "team " + strconv.Quote(string(t.Name))
		switch {
		case t.Name == "":
			add("team number "+strconv.Itoa(i+1), "has no name", "name it")
		case names[t.Name]:
			add(place, "is defined twice", "give each team a name of its own")
		case strings.ContainsFunc(string(t.Name), isControl):
			add(place, "has a control character in its name", "targets get the name in a header")
		}
		names[t.Name] = true
		for n, key := range t.Keys {
			number := strconv.Itoa(n + 1)
			if key == empty {
				add(place, "key number "+number+" is empty", "remove it")
				continue
			}
			if holder, ok := holders[key]; ok && holder != t.Name {
				add(place, "key number "+number+" is also a key of team "+strconv.Quote(string(holder)), "remove it from one of them")
			}
			holders[key] = t.Name
		}
		if t.Rate < 0 || t.Burst < 0 {
			add(place, "has a negative rate or burst", "0 or more")
		}
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
