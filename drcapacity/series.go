package drcapacity

// Series is a quantity measured while one variable changes and all else stays
// the same.
type Series struct {
	Name     string   `json:"name"`
	Unit     string   `json:"unit"`
	Variable string   `json:"variable"`
	Samples  []Sample `json:"samples"`
}

// Fit returns the least-squares line through the values of the samples over their
// sizes.
func (s Series) Fit() Line {
	xs, ys := make([]float64, len(s.Samples)), make([]float64, len(s.Samples))
	for i, p := range s.Samples {
		xs[i], ys[i] = p.Size, p.Value
	}
	return fitLine(xs, ys)
}

// noise returns the largest difference between repetitions of one size, relative
// to their median.
func (s Series) noise() float64 {
	largest := 0.0
	for _, p := range s.Samples {
		if p.Value != 0 {
			largest = max(largest, (p.High-p.Low)/p.Value)
		}
	}
	return largest
}
