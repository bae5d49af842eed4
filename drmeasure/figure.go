package drmeasure

// Figure is one measured value of a scenario, with its target if it has one.
type Figure struct {
	Scenario string `json:"scenario"`
	// Policy is "product" for the product's own policies, "direct" for calls of an
	// engine without an entry VM, or the name of a baseline policy.
	Policy string  `json:"policy"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	// Limit is the highest value that meets the target; nil means no target.
	Limit *float64 `json:"limit,omitempty"`
}

// productPolicy is the value of Figure.Policy for the product's own policies.
const productPolicy = "product"

// withLimit returns a copy of the figure whose target is a value of at most limit.
func (f Figure) withLimit(limit float64) Figure {
	f.Limit = &limit
	return f
}

// targetMet returns "yes" or "NO" for the report, or "-" if the figure has no target.
func (f Figure) targetMet() string {
	switch {
	case f.Limit == nil:
		return "-"
	case f.Value <= *f.Limit:
		return "yes"
	default:
		return "NO"
	}
}
