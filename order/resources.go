package order

// NewResources returns the amounts as one value.
func NewResources(cores MilliCores, memory Bytes, accelerators int) Resources {
	return Resources{w: resourcesWire{Cores: cores, Memory: memory, Accelerators: accelerators}}
}

// Plus returns x + y.
func (x Resources) Plus(y Resources) Resources {
	return NewResources(x.w.Cores+y.w.Cores, x.w.Memory+y.w.Memory, x.w.Accelerators+y.w.Accelerators)
}

// Minus returns x - y, whose amounts may be negative.
func (x Resources) Minus(y Resources) Resources {
	return NewResources(x.w.Cores-y.w.Cores, x.w.Memory-y.w.Memory, x.w.Accelerators-y.w.Accelerators)
}

// Times returns n * x.
func (x Resources) Times(n int) Resources {
	return NewResources(x.w.Cores*MilliCores(n), x.w.Memory*Bytes(n), x.w.Accelerators*n)
}

// Min returns the smaller amount of each resource.
func (x Resources) Min(y Resources) Resources {
	return NewResources(min(x.Cores(), y.Cores()), min(x.Memory(), y.Memory()), min(x.Accelerators(), y.Accelerators()))
}

// Max returns the larger amount of each resource.
func (x Resources) Max(y Resources) Resources {
	return NewResources(max(x.Cores(), y.Cores()), max(x.Memory(), y.Memory()), max(x.Accelerators(), y.Accelerators()))
}

// FitsIn reports whether x exceeds y in none of the amounts.
func (x Resources) FitsIn(y Resources) bool {
	return x.w.Cores <= y.w.Cores && x.w.Memory <= y.w.Memory && x.w.Accelerators <= y.w.Accelerators
}

// Within reports whether x exceeds the limit in none of the amounts. A zero
// amount in the limit means no limit.
func (x Resources) Within(limit Resources) bool {
	return (limit.w.Cores == 0 || x.w.Cores <= limit.w.Cores) &&
		(limit.w.Memory == 0 || x.w.Memory <= limit.w.Memory) &&
		(limit.w.Accelerators == 0 || x.w.Accelerators <= limit.w.Accelerators)
}
