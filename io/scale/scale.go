package scale

import (
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Line is one measured slope.
type Line struct {
	Quantity  string
	Unit      string
	By        string // what the size counts
	Sizes     []float64
	Values    []float64
	Slope     float64
	Intercept float64
	R2        float64
	Design    float64 // size designed for
}

// AtDesign returns the value expected at the size designed for.
func (l Line) AtDesign() float64 { return l.Intercept + l.Slope*l.Design }

// String formats the line as key=value pairs.
func (l Line) String() string {
	return fmt.Sprintf("Quantity=%s Unit=%s By=%s Sizes=%v Values=%.4g Slope=%.4g Intercept=%.4g R2=%.3f Design=%g AtDesign=%.4g", l.Quantity, l.Unit, l.By, l.Sizes, l.Values, l.Slope, l.Intercept, l.R2, l.Design, l.AtDesign())
}

// fit measures a quantity at several sizes and fits a line.
func fit(quantity, unit, by string, design float64, sizes []int, measure func(size int) (float64, error)) (Line, error) {
	l := Line{Quantity: quantity, Unit: unit, By: by, Design: design}
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

const repetitions = 30

// timed returns the least time of one call, in microseconds.
func timed(call func()) float64 {
	call()
	least := time.Duration(1<<63 - 1)
	for range repetitions {
		before := time.Now()
		call()
		least = min(least, time.Since(before))
	}
	return float64(least.Nanoseconds()) / 1e3
}

// allocated returns the mean number of bytes that one call allocates, in KB.
func allocated(call func()) float64 {
	call()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range repetitions {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / repetitions / 1024
}

// held returns the heap that the value made by build keeps, in KB.
func held[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one only queues finalizers
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / 1024
}
