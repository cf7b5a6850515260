Feature: requests that terminate the engines that run them, with sidecars

  Scenario: a completion that terminates every engine that runs it and is repeated at any entry with sidecars
    Symptom: many callers' streams break, for as long as one caller repeats its request.
    Events: an engine terminates as it begins to run the request; the entry sends it to another engine's sidecar, and that engine terminates
    too; the caller repeats the request at another entry.
    Cause: neither sidecars nor entries remember which requests were running when an engine terminated.
    Given a whole system with 4 engines, 1 booking services and 2 entries
    When a completion that terminates each engine is requested every 100 ms for 6 s, at the entries in turn
    Then at most 3 engines terminate later than 3 s after the third termination
