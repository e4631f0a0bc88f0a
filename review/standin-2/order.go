package main

import (
	"encoding/json"
	"time"
)

// order is an order that has arrived at a runner.
type order struct {
	Operation  string
	Model      string
	Adapter    string
	Holder     string
	FenceToken int64

	at     time.Time
	status string
}

// adapterLoadTime is how long the load of an adapter takes.
const adapterLoadTime = 250 * time.Millisecond

// Answers to orders.
const (
	orderAccepted = "202 Accepted"
	orderHolds    = "200 OK"
	orderFenced   = "412 Precondition Failed"
	orderInvalid  = "400 Bad Request"
)

// accepted reports whether the runner has carried the order out, or it held already.
func (order order) accepted() bool {
	return order.status == orderAccepted || order.status == orderHolds
}

// takeOrder carries out an order, unless its fencing token is too low, and returns the status to answer with.
func (runner *runner) takeOrder(body []byte) string {
	order := order{at: time.Now()}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.FenceToken == 0 {
		return orderInvalid
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	order.status = runner.carryOut(order)
	runner.orders = append(runner.orders, order)
	runner.bench.note("%s: order of %s with token %d, %s %s: %s", runner.id, order.Holder, order.FenceToken, order.Operation, order.Adapter, order.status)
	return order.status
}

// carryOut carries out an order. The mutex must be held.
func (runner *runner) carryOut(order order) string {
	if order.FenceToken < runner.fence {
		return orderFenced
	}
	runner.fence = order.FenceToken
	from, known := runner.adapters[order.Adapter]
	switch {
	case order.Adapter == "":
		return orderHolds // the base model is there from the start
	case order.Operation == "model_unload":
		delete(runner.adapters, order.Adapter)
		return orderHolds
	case known && time.Now().After(from):
		return orderHolds
	case !known:
		runner.adapters[order.Adapter] = time.Now().Add(adapterLoadTime)
		runner.mostAdapters = max(runner.mostAdapters, len(runner.adapters))
	}
	return orderAccepted
}
