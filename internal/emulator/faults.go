package emulator

import "capercove/internal/scenario"

// injection is one fault that is being injected.
type injection struct {
	scenario.Fault
	fleet  *Fleet
	member *Member // nil if the target is no database
}

// inject carries out a fault, and ends it after its time.
func (f *Fleet) inject(fault scenario.Fault) {
	current := &injection{Fault: fault, fleet: f, member: f.Member(fault.Target)}
	switch fault.Kind {
	case scenario.FaultCrash:
		current.crash()
	case scenario.FaultHang:
		current.hang()
	case scenario.FaultSlow, scenario.FaultLag, scenario.FaultSpoil, scenario.FaultReset, scenario.FaultUsurp:
		current.impair()
	case scenario.FaultDrain:
		current.drain()
	case scenario.FaultCut:
		current.note("is cut off")
		f.isolate(fault.Target, true)
		current.endWith("is reached again", func() { f.isolate(fault.Target, false) })
	case scenario.FaultDiscovery:
		current.note("fails")
		if f.OnDiscoveryFault != nil {
			f.OnDiscoveryFault(fault)
		}
	default:
		current.note(string(fault.Kind))
		if f.OnPoolerFault != nil {
			f.OnPoolerFault(fault)
		}
	}
}

// note records an event of the target.
func (i *injection) note(what string) {
	name := i.Target
	if i.member != nil {
		name = i.member.Name
	}
	i.fleet.note("%s: %s", name, what)
}

// endWith ends the fault after its time, if it has one, and records that.
func (i *injection) endWith(what string, end func()) {
	if i.For <= 0 {
		return
	}
	i.fleet.after(i.For, func() {
		i.note(what)
		end()
	})
}

// crash ends the process of a database, and starts it again at the end of the fault.
func (i *injection) crash() {
	if !i.member.running {
		i.note("crash: it is down already")
		return
	}
	i.note("crash")
	i.member.crash()
	i.endWith("back", i.member.start)
}

// hang makes a database stand still.
func (i *injection) hang() {
	member := i.member
	if !member.running || member.hung {
		i.note("hang: it is down already")
		return
	}
	i.note("hang")
	member.hung = true
	member.deposeIfPrimary()
	member.changed()
	i.endWith("goes on", func() {
		member.hung = false
		member.serveQueue()
		member.changed()
	})
}

// drain drains a database, which starts again at the end of the fault.
func (i *injection) drain() {
	i.note("drains")
	i.member.drain()
	i.endWith("serves again", func() {
		i.member.crash()
		i.member.start()
	})
}

// impair carries out a fault that changes how a database behaves, and nothing else.
func (i *injection) impair() {
	member := i.member
	switch i.Kind {
	case scenario.FaultSlow:
		i.note("slow")
		member.speedFactor = 1 / i.Factor
		i.endWith("fast again", func() { member.speedFactor = 1 })
	case scenario.FaultLag:
		i.note("applies slowly")
		member.applyTimeFactor = i.Factor
		i.endWith("applies as ever", func() { member.applyTimeFactor = 1 })
	case scenario.FaultSpoil:
		i.note("spoils answers")
		member.CorruptedShare = i.Factor
		i.endWith("answers well", func() { member.CorruptedShare = 0 })
	case scenario.FaultReset:
		i.note("resets connections")
		member.ResetAfterBytes = max(1, i.Bytes)
		i.endWith("resets none", func() { member.ResetAfterBytes = 0 })
	case scenario.FaultUsurp:
		i.note("takes itself for the primary")
		member.falsePrimary = true
		i.endWith("knows its place", func() { member.falsePrimary = false })
	}
}

// isolate cuts a zone off from all others, or reconnects it.
func (f *Fleet) isolate(zone string, on bool) {
	for _, member := range f.Members { // they keep what they have
		member.position = member.Position()
	}
	f.isolated[zone] = on
	for _, family := range f.Families {
		for _, member := range family.Members {
			if !member.IsPrimary() {
				member.updateReplication()
			}
		}
		primary := family.primary
		if on && primary != nil && primary.Zone == zone && primary.isCutOff() {
			primary.deposeIfPrimary()
		}
	}
	for _, member := range f.Members {
		member.changed()
	}
}
