package main

// line is the least-squares fit of y over x.
type line struct{ slope, intercept float64 }

func fit(x, y []float64) line {
	var sumX, sumY, sumXX, sumXY float64
	n := float64(len(x))
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return line{slope, (sumY - slope*sumX) / n}
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }
