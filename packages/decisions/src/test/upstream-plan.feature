Feature: decisions for one upstream keep the naive version's promises
  Symptom: a request is answered by another adapter, waits for ever, or is told that it did not run when it did.
  Events: loads fail, unloads lose their reply, requests are withdrawn, slots run out, in any order.
  Cause: a rule about slots, places or deadlines is broken by some sequence of messages.

  Scenario: any sequence of messages ends every request exactly once and never breaks a pin
    Given any load, failures and withdrawals over a few slots
    Then the plan and a naive plan end the same requests and start each on its adapter

  Scenario: an adapter in use is never unloaded, also when a slot is wanted for long
    Given one slot whose adapter is in use
    When another adapter waits longer than the patience of its class
    Then nothing is unloaded before the last byte
    And the waiting adapter is loaded after it

  Scenario: a request that can't start before its deadline is refused at once
    Given one place that is taken by a slow request
    When a request with a short deadline arrives
    Then it is refused at once with a time to come back

  Scenario: drafts are not starved by a stream of receipts
    Symptom: drafts time out for as long as the sign-up week lasts.
    Events: receipts come as fast as they are answered.
    Cause: the more urgent class always went first.
    Given one place and a queue of drafts
    When receipts keep coming for each one that is answered
    Then every fourth start is the oldest draft

  Scenario: a receipt's load is not kept behind a draft's
    Given a draft that waits for a permit to load
    When a receipt for another adapter arrives
    Then the permit is asked for with the receipt's rank
    And the receipt's adapter is loaded first

  Scenario: receipts go before drafts, and drafts in order of arrival
    Given one place and a queue of drafts
    When a receipt arrives last
    Then the receipt starts first and the drafts follow in order

  Scenario: a request that hung since before an engine restart
    Symptom: an adapter is evicted under a request that has just begun.
    Events: the engine restarts, one request hangs, the adapter is loaded anew for others, the hung one is given up.
    Cause: giving it up took a pin from the slot that was loaded after it.
    Given a request that hangs on an adapter since before an engine restart
    When the adapter is loaded anew for another request and the hung one is given up
    Then the adapter is not unloaded while the other runs

  Scenario: an unload whose reply was lost
    Given one slot whose adapter was unloaded with its reply lost
    Then nothing starts on it until the engine was asked
