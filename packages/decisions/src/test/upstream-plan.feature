Feature: decisions for one upstream agree with a naive version
  A request is answered by another adapter, waits for ever, or is answered as "not run" when it did run. This happens when a
  rule about adapter slots, batch slots or deadlines is broken by some sequence of messages: loads fail, unloads lose their
  reply, requests are withdrawn, slots run out, in any order.

  Scenario: any sequence of messages ends every request exactly once and never unloads a pinned adapter
    Given any load, failures and withdrawals over a few slots
    Then the plan and a naive plan end the same requests and start each on its adapter

  Scenario: an adapter in use is never unloaded, also when a slot is needed for long
    Given one slot whose adapter is in use
    When another adapter waits longer than its class waits for a slot
    Then nothing is unloaded before the last byte
    And the waiting adapter is loaded after it

  Scenario: a request that can't start before its deadline is refused at once
    Given one batch slot that is occupied by a slow request
    When a request with a short deadline arrives
    Then it is refused at once with a time to retry after

  Scenario: drafts are not starved by a stream of receipts
    Drafts time out for as long as receipts arrive as fast as they are answered. This happens when the more urgent class
    always goes first.
    Given one batch slot and a queue of drafts
    When receipts keep arriving for each one that is answered
    Then every fourth start is the oldest draft

  Scenario: a receipt's load does not wait behind a draft's
    Given a draft that waits for a permit to load
    When a receipt for another adapter arrives
    Then the permit is requested with the receipt's rank
    And the receipt's adapter is loaded first

  Scenario: receipts go before drafts, and drafts in order of arrival
    Given one batch slot and a queue of drafts
    When a receipt arrives last
    Then the receipt starts first and the drafts follow in order

  Scenario: a request that hung since before an engine restart
    An adapter is evicted while a request runs that has just started. This happens when the engine restarts, one request
    hangs, the adapter is loaded anew for others, and the end of the hung request removes a pin from the new slot.
    Given a request that hangs on an adapter since before an engine restart
    When the adapter is loaded anew for another request and the hung one is given up
    Then the adapter is not unloaded while the other runs

  Scenario: an unload whose reply was lost
    Given one slot whose adapter was unloaded with its reply lost
    Then nothing starts on it until the engine was asked
