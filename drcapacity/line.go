package drcapacity

import "math"

// Line is a straight line fitted by ordinary least squares. Products are converted to
// float64, because some processors otherwise add them unrounded and the committed page
// would depend on the machine that writes it.
type Line struct {
	Intercept, Slope float64
	// Residual is the standard deviation of the residuals.
	Residual float64
	// R2 is the coefficient of determination.
	R2 float64

	// n is the number of points, sumSquaresX the sum of squares of x - meanX.
	n, meanX, sumSquaresX float64
}

// fitLine fits y = intercept + slope·x. If all x are equal, the slope is 0.
func fitLine(xs, ys []float64) Line {
	l := Line{n: float64(len(xs))}
	if len(xs) == 0 {
		return l
	}
	var meanY float64
	for i := range xs {
		l.meanX += xs[i] / l.n
		meanY += ys[i] / l.n
	}
	var sxy, syy float64
	for i := range xs {
		dx, dy := xs[i]-l.meanX, ys[i]-meanY
		l.sumSquaresX += float64(dx * dx)
		sxy += float64(dx * dy)
		syy += float64(dy * dy)
	}
	if l.sumSquaresX > 0 {
		l.Slope = sxy / l.sumSquaresX
	}
	l.Intercept = meanY - float64(l.Slope*l.meanX)
	var residualSquares float64
	for i := range xs {
		d := ys[i] - l.At(xs[i])
		residualSquares += float64(d * d)
	}
	if l.n > 2 {
		l.Residual = math.Sqrt(residualSquares / (l.n - 2))
	}
	l.R2 = 1
	if syy > 0 {
		l.R2 = 1 - residualSquares/syy
	}
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + float64(l.Slope*x) }

// Error returns the standard error of the line at x, which grows with the
// distance from the measured sizes. If all of these are equal, it is Residual.
func (l Line) Error(x float64) float64 {
	if l.n == 0 || l.sumSquaresX == 0 {
		return l.Residual
	}
	d := x - l.meanX
	return l.Residual * math.Sqrt(1/l.n+float64(d*d)/l.sumSquaresX)
}
