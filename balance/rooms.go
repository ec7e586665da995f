package balance

import (
	"slices"
	"time"

	"pumiceford/routing"
	"pumiceford/targets"
)

// Room is a target with the slots that are estimated to be free there.
type Room struct {
	Instance targets.Instance
	Free     int
	Doubtful bool // it may not answer as it should
	idle     bool // a connection is there for it
}

// Rooms returns the targets of a service whose agents have seats for batch work:
// those in doubt last, those with an idle connection and then the most free first.
// Targets without an agent's word get no batch work: nobody would notice online
// requests waiting behind it.
func (t *Table) Rooms(now time.Time, service string) []Room {
	return t.rooms(now, service, false)
}

// RoomsPressing returns the targets for an item that is due soon: it may have the
// slots as well that other items leave free.
func (t *Table) RoomsPressing(now time.Time, service string) []Room {
	return t.rooms(now, service, true)
}

func (t *Table) rooms(now time.Time, service string, pressing bool) []Room {
	var out []Room
	for _, v := range t.views {
		if !v.usable(now, service, nil, false) || !v.reported(now) || v.report.Silent {
			continue
		}
		room := v.report.Room
		if pressing {
			room += v.report.Spare
		}
		if free := min(v.Free(now), room) - v.seated; free > 0 {
			out = append(out, Room{Instance: v.Instance, Free: free, Doubtful: v.doubtful(now), idle: v.conns.idle(now)})
		}
	}
	slices.SortFunc(out, func(a, b Room) int {
		if a.Doubtful != b.Doubtful {
			if b.Doubtful {
				return -1
			}
			return 1
		}
		if a.idle != b.idle {
			if a.idle {
				return -1
			}
			return 1
		}
		if a.Free != b.Free {
			return b.Free - a.Free
		}
		if routing.Score(a.Instance.ID, t.salt) > routing.Score(b.Instance.ID, t.salt) {
			return -1
		}
		return 1
	})
	return out
}

// Fit reports whether a target of a service may get work now.
func (t *Table) Fit(now time.Time, service, id string) bool {
	v := t.views[id]
	return v != nil && v.usable(now, service, nil, false)
}

// Seated notes the answer of an agent that was asked for a seat. Until its next
// report a refusal means that nothing is free there.
func (t *Table) Seated(id string, granted bool) {
	v := t.views[id]
	if v == nil {
		return
	}
	if granted {
		v.seated++
		return
	}
	v.seated = v.slots()
}
