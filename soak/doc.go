// Package soak holds the fault soak of waxwing-entry. It runs the real program
// as separate processes against the stand-in of the platform and injects
// faults from outside: signals, and proxies that delay, cut or silence
// connections. While it runs it checks what clients and workers see. Everything
// is in the test files; CI runs a short seeded soak, and
//
//	make soak SEEDS=50
//
// runs more seeds. SEED is the first one; 0 draws it from the time of day.
package soak
