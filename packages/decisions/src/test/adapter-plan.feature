Feature: what an engine is ordered to load and unload
  Each scenario plays orders and answers against a small engine that fails as real ones do.

  Scenario: orders without an answer, late orders and restarts
    Symptom: an engine that is ordered to hold more than it can crashes with all its requests.
    Events: orders get no answer, are carried out seconds later, or are refused; many adapters are asked for.
    Cause: an order without an answer was taken for one that did nothing.
    Then for any asks and any lost or late orders the engine never holds more than its slots
    And for any asks and any lost or late orders at most four adapters are in transit

  Scenario: a slot that a request was promised
    Symptom: a request is refused by the engine that was said to hold its adapter.
    Events: the adapter is unloaded for another one between the promise and the request.
    Cause: popularity alone chose the victim.
    Given an engine with 2 adapter slots, both promised
    When a third adapter is asked for
    Then nothing is unloaded before the promises end

  Scenario: adapters with running requests
    Symptom: an adapter refuses new requests for seconds although it is loaded.
    Events: it was ordered to go while requests ran on it.
    Cause: the plan did not know what the entries use.
    Given an engine with 2 adapter slots, both in use
    Then a third adapter is answered with "occupied" when its request may not wait

  Scenario: nobody waits any more
    Symptom: the weight store is busy with adapters that nobody asks for, and callers wait.
    Events: many adapters are asked for, their callers leave, others come.
    Cause: what was once asked for stayed in the line.
    Given 20 adapters whose callers have left
    When another adapter is asked for
    Then it is the next one loaded

  Scenario: a heavy minute at the weight store
    Symptom: callers wait for rare adapters while one that many wait for is not loaded.
    Events: the store feeds 8 loads at once; 60 requests a second ask for adapters, one of them in five for the same.
    Cause: loads were ordered by age alone.
    Then the adapter that most wait for is loaded among the first four

  Scenario: a new version while requests run on the old one
    Symptom: an adapter refuses requests for as long as its longest stream runs.
    Events: a new version is declared, and its load is ordered at once.
    Cause: a replacement waits for running requests and lets no new ones start.
    Given an engine whose adapter is in use in version 1
    When version 2 of it is asked for
    Then no load is ordered before its requests have ended

  Scenario: loads that take longer than expected
    Symptom: one order in twelve is refused, and after each of these an engine loads nothing for 100 ms.
    Events: a load is late and its order is sent again to ask after it; the next order is refused.
    Cause: the engine does not count the repeat, and its holder did.
    Then of the orders of 60 asks for adapters whose loads take 400 ms none is refused

  Scenario: a load whose answers are all lost
    Symptom: an engine has one slot less for as long as nothing else goes wrong, and its entry is busy doing nothing.
    Events: the engine takes an order; no answer to it or its repeats arrives; then a report says that the adapter is coming.
    Cause: the order's time was unknown, so the load was never asked after, and the pause before that was endless.
    Given an engine that takes the order of an adapter, whose answers are all lost
    When a report says that the adapter is coming
    Then the adapter is promised within 300 ms of being there
    And the load's time was learned as less than 3 s
