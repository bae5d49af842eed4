package drfleetview

// Serving returns up to limit listed runners that serve a replica and don't drain, in no
// particular order, those of an availability zone first.
func (v *View) Serving(replica Replica, zone string, limit int) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.clock.Uptime()
	var near, far []Change
	for _, e := range v.runners {
		if len(near) == limit {
			break
		}
		if !v.serves(e, replica) {
			continue
		}
		c := Change{Runner: e.runner, Cold: e.statedCold(uptime)}
		if e.runner.Zone == zone {
			near = append(near, c)
		} else if len(far) < limit {
			far = append(far, c)
		}
	}
	return append(near, far[:min(len(far), limit-len(near))]...)
}
