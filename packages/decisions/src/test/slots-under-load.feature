Feature: engines with few adapter slots under more requests than they can serve

  Scenario: adapters whose requests can still be in time go first
    Of a hundred streams 22 to 29 are late and 59 in time, though 78 could be in time. This happens when, for half a minute,
    more adapters are requested than there are slots, and each repeated load request counts as a further one: the adapter
    whose requests have waited longest is loaded first and keeps its slot longest. Callers get 0.67 of what an idle engine
    gives in that case, and 0.80 when a request counts once.
    Then at twice the load that the slots can carry callers get 0.78 of what they would get from an idle engine
