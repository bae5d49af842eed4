package drscheduler

import (
	"cmp"
	"slices"
)

// modelsToRelocate returns the models with requests that only runners out of service hold,
// in descending order of their requests.
func (p *planner) modelsToRelocate() []string {
	var models []string
	for i := range p.Runners {
		r := &p.Runners[i]
		if !r.OutOfService {
			continue
		}
		for _, m := range r.Replicas {
			if p.replicas[m.Model] == 0 && p.Rate[m.Model] > 0 && !slices.Contains(models, m.Model) {
				models = append(models, m.Model)
			}
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.Rate[b], p.Rate[a]), cmp.Compare(a, b))
	})
	return models
}
