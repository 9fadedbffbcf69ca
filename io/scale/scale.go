package scale

import (
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// LinearFit is a linear regression of a measured cost over the size of the deployment.
type LinearFit struct {
	Quantity  string
	Unit      string
	By        string // what the sizes count, for example Instances
	Sizes     []float64
	Values    []float64
	Slope     float64
	Intercept float64
	R2        float64
	Design    float64 // design size, in the units of Sizes
}

// AtDesign returns the value that the fit predicts for the design size.
func (l LinearFit) AtDesign() float64 { return l.Intercept + l.Slope*l.Design }

// String returns the fit as key=value pairs.
func (l LinearFit) String() string {
	return fmt.Sprintf("Quantity=%s Unit=%s By=%s Sizes=%v Values=%.4g Slope=%.4g Intercept=%.4g R2=%.3f Design=%g AtDesign=%.4g", l.Quantity, l.Unit, l.By, l.Sizes, l.Values, l.Slope, l.Intercept, l.R2, l.Design, l.AtDesign())
}

// measureFit measures a quantity at each of the sizes and fits a line to the values.
func measureFit(quantity, unit, by string, design float64, sizes []int, measure func(size int) (float64, error)) (LinearFit, error) {
	l := LinearFit{Quantity: quantity, Unit: unit, By: by, Design: design}
	for _, size := range sizes {
		value, err := measure(size)
		if err != nil {
			return l, err
		}
		l.Sizes = append(l.Sizes, float64(size))
		l.Values = append(l.Values, value)
	}
	l.Intercept, l.Slope = stat.LinearRegression(l.Sizes, l.Values, nil, false)
	l.R2 = stat.RSquared(l.Sizes, l.Values, nil, l.Intercept, l.Slope)
	return l, nil
}

const repeatedCalls = 30

// minCallTime returns the shortest time of repeatedCalls calls, in microseconds.
func minCallTime(call func()) float64 {
	call()
	shortest := time.Duration(1<<63 - 1)
	for range repeatedCalls {
		before := time.Now()
		call()
		shortest = min(shortest, time.Since(before))
	}
	return float64(shortest.Nanoseconds()) / 1e3
}

// meanAllocation returns the mean number of bytes that one call allocates, in KB.
func meanAllocation(call func()) float64 {
	call()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range repeatedCalls {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / repeatedCalls / 1024
}

// retainedHeap returns the heap memory that the value returned by build retains, in KB.
func retainedHeap[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection only queues finalizers; the second one frees the memory
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / 1024
}
