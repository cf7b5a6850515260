Feature: engines with few adapter slots under more requests than they can serve

  Scenario: adapters whose requests can still be in time go first
    Of a hundred streams 22 to 29 are late and 59 in time, though 78 could be in time. This happens when, for half a minute,
    more adapters are requested than there are slots, and each repeated load request counts as a further one: the adapter
    whose requests have waited longest is loaded first and keeps its slot longest. Callers get 0.67 of what an idle engine
    gives in that case, and 0.80 when a request counts once.
    Then at twice the load that the slots can carry callers get 0.78 of what they would get from an idle engine

  Scenario: adapters of an organisation with few requests
    Guards against an organisation whose adapters are not loaded while another one asks for four times what the slots can carry.
    Then the requests of the smaller organisation are served at least 0.9 times as often as those of the larger one, and more often than without shares

  Scenario: adapters of less urgent requests
    Guards against adapters of less urgent requests that are never loaded while urgent ones want every adapter slot.
    Then at least 0.1 of the less urgent requests are served, less than of the urgent ones, and without shares under 0.02

  Scenario: a request whose turn can't come in its time
    Guards against callers who wait for all their time although it is known that no adapter slot becomes free for them.
    Then of the requests that are refused at once under 3 in 100 would have been served, and they are at least 10 in 100 of those not served

  Scenario: predictions that are not certain
    Guards against refusals while an adapter slot may become free in time.
    Then nothing is refused at once at a load that the slots can carry, without predictions, or where one upstream has none

  Scenario: adapters of one organisation, or of none
    Then they are loaded in the order of requests, priority and timeliness, as without shares
