package prefill_test

import (
	"slices"
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/prefill"
)

// site is the part of a replay that decides when prompts are sent: by the rule of each daemon
// alone, or with an owner's queue. Messages arrive after linkTime.
type site struct {
	options    prefill.Options
	owner      *prefill.Queue // nil: none
	ownerDies  clock.Millis   // 0: never
	loseAnswer func() bool    // nil: none is lost
	period     clock.Millis   // at the beginning of each, the owner handles no messages for the time stall
	stall      clock.Millis   // 0: it always does, and gets no requests for other servers
	heardAt    clock.Millis   // when daemons last received an update of the owner
	term       clock.Millis   // after which another daemon owns the engine; 0: the owner does not change
	requesters []*prefill.Requester
	buckets    []*choose.PromptBucket
	waiting    []*prompt
	messages   map[clock.Millis][]func(now clock.Millis)
	results    map[prefill.Result]int
}

func newSite(controlled bool) *site {
	return newSiteWith(controlled, prefill.DefaultOptions())
}

func newSiteWith(controlled bool, options prefill.Options) *site {
	site := &site{options: options, messages: make(map[clock.Millis][]func(clock.Millis)), results: make(map[prefill.Result]int)}
	if controlled {
		site.owner = prefill.New(options)
	}
	for range daemons {
		site.requesters = append(site.requesters, prefill.NewRequester(options, 0))
		site.buckets = append(site.buckets, choose.NewPromptBucket())
	}
	return site
}

func (site *site) ownerAlive(now clock.Millis) bool {
	return site.owner != nil && (site.ownerDies == 0 || now < site.ownerDies)
}

// send has a message arrive after linkTime.
func (site *site) send(now clock.Millis, arrive func(now clock.Millis)) {
	site.messages[now+linkTime] = append(site.messages[now+linkTime], arrive)
}

// sendToOwner has a message arrive at the owner after linkTime, or when the owner handles messages.
func (site *site) sendToOwner(now clock.Millis, arrive func(now clock.Millis)) {
	wait := clock.Millis(0)
	if at := now + linkTime; site.stalled(at) {
		wait = site.stall - at%site.period
	}
	site.send(now+wait, func(at clock.Millis) {
		if site.ownerAlive(at) {
			arrive(at)
		}
	})
}

func (site *site) stalled(now clock.Millis) bool {
	return site.stall > 0 && now%site.period < site.stall
}

// askOthers plays the owner's updates, and 333 requests a second for other servers of the owner,
// which are granted at once.
func (site *site) askOthers(now clock.Millis) {
	if now%500 == 0 {
		site.sendToOwner(now, func(at clock.Millis) { site.send(at, func(at clock.Millis) { site.heardAt = at }) })
	}
	requester := site.requesters[int(now/3)%daemons]
	if now%3 > 0 || !requester.MayAsk(now, "o") {
		return
	}
	wait := requester.Begin(now, "o", "t", now+clock.Second)
	site.sendToOwner(now, func(at clock.Millis) { site.send(at, func(clock.Millis) { requester.Answer("t", wait.ID, true) }) })
	site.send(now+60-linkTime, func(at clock.Millis) {
		requester.Check(at, wait, site.heardAt)
		requester.End(wait)
	})
}

// arrive starts the wait of a prompt.
func (site *site) arrive(now clock.Millis, prompt *prompt) {
	prompt.unread = prompt.tokens
	site.waiting = append(site.waiting, prompt)
	requester := site.requesters[prompt.daemon]
	if prompt.local = site.owner == nil || !requester.MayAsk(now, "o"); prompt.local {
		prompt.result, prompt.id = prefill.Local, requester.NextID()
		return
	}
	prompt.wait = requester.Begin(now, "o", "s", requester.Bound(now, goals[prompt.rank]))
	prompt.id = prompt.wait.ID
	site.sendToOwner(now, func(at clock.Millis) {
		request := prompt.request(at + prompt.wait.Until - now)
		site.owner.Add(at, request)
		site.answer(at, request, false)
	})
}

// request returns a prompt as its daemon announces it to the owner.
func (prompt *prompt) request(until clock.Millis) prefill.Request {
	return prefill.Request{Daemon: strconv.Itoa(prompt.daemon), ID: prompt.id, Tokens: prompt.tokens, Rank: prompt.rank, Account: prompt.account, GapGoal: gapGoal, Until: until}
}

// answer sends a daemon the owner's answer to its request.
func (site *site) answer(now clock.Millis, request prefill.Request, granted bool) {
	daemon, _ := strconv.Atoi(request.Daemon)
	if site.loseAnswer == nil || !site.loseAnswer() {
		site.send(now, func(clock.Millis) { site.requesters[daemon].Answer("s", request.ID, granted) })
	}
}

// tick moves the site on by a millisecond, and returns the prompts that are sent.
func (site *site) tick(now clock.Millis) (sent []*prompt) {
	if site.stall > 0 {
		site.askOthers(now)
	}
	for _, arrive := range site.messages[now] {
		arrive(now)
	}
	if site.term > 0 && now%site.term == 0 {
		site.owner = prefill.New(site.options)
	}
	if site.ownerAlive(now) && !site.stalled(now) {
		granted, _ := site.owner.Next(now, engineRate)
		for _, request := range granted {
			site.answer(now, request, true)
		}
	}
	delete(site.messages, now)
	site.waiting = slices.DeleteFunc(site.waiting, func(prompt *prompt) bool {
		if prompt.sent = site.sends(now, prompt); prompt.sent {
			site.buckets[prompt.daemon].Add(now, "s", prompt.tokens, engineRate)
			prompt.sentAt = now
			if site.owner != nil && site.requesters[prompt.daemon].ShouldReport(now, prompt.result, site.heardAt) {
				site.sendToOwner(now, func(at clock.Millis) { site.owner.Add(at, prompt.request(at)) })
			}
			sent = append(sent, prompt)
		}
		return prompt.sent
	})
	return sent
}

// sends reports whether a prompt is sent now.
func (site *site) sends(now clock.Millis, prompt *prompt) bool {
	if !prompt.local {
		result, _ := site.requesters[prompt.daemon].Check(now, prompt.wait, site.heardAt)
		if result == prefill.Pending {
			return false
		}
		site.requesters[prompt.daemon].End(prompt.wait)
		site.results[result]++
		prompt.result = result
		if prompt.local = result == prefill.Late || result == prefill.Silent; !prompt.local {
			return true
		}
		site.sendToOwner(now, func(at clock.Millis) { site.owner.Withdraw(at, strconv.Itoa(prompt.daemon), prompt.id) })
	}
	local := choose.Prompt{Tokens: prompt.tokens, Goal: goals[prompt.rank], GapGoal: gapGoal, Waited: now - prompt.at}
	return !choose.DefaultDelayPolicy().ShouldDelay(local, site.buckets[prompt.daemon].Level(now, "s", engineRate), engineRate)
}

// replay runs the prompts through a site and its engine, which has the given speed, until all are
// answered.
func replay(site *site, prompts []*prompt, speed float64) {
	var queued, running []*prompt
	now, ticked, next, done := 0.0, clock.Millis(-1), 0, 0
	for done < len(prompts) {
		for ; float64(ticked) < now; ticked++ {
			for ; next < len(prompts) && prompts[next].at <= ticked+1; next++ {
				site.arrive(ticked+1, prompts[next])
			}
			queued = append(queued, site.tick(ticked+1)...)
		}
		free := min(engineSlots-len(running), len(queued))
		running, queued = append(running, queued[:free]...), queued[free:]
		budget := engineChunk
		for _, prompt := range running {
			read := min(budget, prompt.unread)
			prompt.unread -= read
			budget -= read
		}
		now += (engineStep + float64(engineChunk-budget)/engineRate) / speed
		running = slices.DeleteFunc(running, func(prompt *prompt) bool {
			if prompt.unread > 0 {
				return false
			}
			prompt.steps++
			if prompt.steps%stepsPerEvent != 0 {
				return false
			}
			if prompt.first == 0 {
				prompt.first = now - float64(prompt.at)
			} else {
				prompt.pause = max(prompt.pause, now-prompt.lastAt)
			}
			prompt.lastAt = now
			if prompt.events--; prompt.events == 0 {
				done++
			}
			return prompt.events == 0
		})
	}
}
