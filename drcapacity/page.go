package drcapacity

// WritePage writes the page.
func WritePage(string, Measurement) error { return nil }
