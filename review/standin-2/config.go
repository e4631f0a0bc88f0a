package main

// Services and the host of the configuration.
const (
	engines = "lectura"
	records = "registro"
	host    = "ficu95.example"
	model   = "daka510000"
)

// route returns a route of the configuration.
func route(prefix, kind, service string, timeout, attempts int) map[string]any {
	return map[string]any{
		"Name": "r" + prefix, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout, "LatencyGoalMs": 800,
		"Priority": 2, "Service": service, "Attempts": attempts, "Resumable": false, "GapAimMs": 300,
	}
}

// config returns the configuration with the given routes, with the figures of the small site.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": engines, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 121844, "WeightsMb": 66600.0, "AdapterSlots": 17, "LoadsPerS": 2.1,
				"Models": []any{map[string]any{"Name": model, "WeightsMb": 65100.0, "LoadS": 3.9, "Adapters": 3000, "AdapterMb": 12.0, "WarmS": 0.76, "DiskS": 1.6}},
			}},
			map[string]any{"Name": records, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": "archivo", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
