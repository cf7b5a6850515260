Feature: ledgers, revisions, budgets and placement
  Small decisions that others rest on, each compared with a naive version.

  Scenario: a request frame is taken once, and never after its withdraw
    Symptom: a request runs although its caller was told that it was withdrawn.
    Events: frames come twice or late, withdraws come first.
    Cause: the sidecar took a frame it should have known.
    Then a ledger and a set of everything seen agree on which frames may run

  Scenario: a configuration never goes to a lower revision
    Then for any order of documents the revision held is the highest offered so far

  Scenario: retries stay within their share of first attempts
    Symptom: when a zone fails, the others receive several times their load and fail too.
    Events: every request fails and every failure is retried.
    Cause: retries without a budget.
    Then for any mix of attempts and retries the retries stay within the budget

  Scenario: removing an upstream moves only its own adapters
    Then for any set of upstreams the order of the others is unchanged

  Scenario: entries with the same stale report do not all choose the same upstream
    Symptom: load swings between upstreams and each in turn is overrun.
    Events: many requests come between two reports.
    Cause: an entry forgot its own dispatches.
    Then a hundred requests between two reports are spread over all upstreams

  Scenario: upstreams that have not loaded anything yet get their share of loads
    Symptom: one engine holds all adapters and evicts them at every turn while the others are empty.
    Events: one engine has measured its loads, the others still report a guess.
    Cause: a measured time was compared with a guess.
    Then a hundred new adapters are spread over all upstreams though one has measured short loads

  Scenario: the sidecar that holds an adapter gets its requests until its queue costs more than a load
    Then a request goes to the holder while it has room and elsewhere once its queue is long
