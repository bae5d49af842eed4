package drmeasure

// Figure is one measured value.
type Figure struct {
	Scenario string `json:"scenario"`
	// Policy is "product", or the name of the baseline.
	Policy string  `json:"policy"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	// Limit is the highest value that meets the target, if there is one.
	Limit *float64 `json:"limit,omitempty"`
}

// productPolicy names the product's own policies.
const productPolicy = "product"

// withLimit returns the figure with a target.
func (f Figure) withLimit(limit float64) Figure {
	f.Limit = &limit
	return f
}

// targetMet says whether the target is met, "-" without a target.
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
