package drcapacity

// Sample is one measured value at one size.
type Sample struct {
	// Size is the value of the series' variable.
	Size float64 `json:"size"`
	// Value is the median of the repetitions, in the series' unit.
	Value float64 `json:"value"`
	// Low and High are the values of the lowest and highest repetition.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}
