Feature: load and unload orders for one engine
  Each scenario runs a plan against a small simulated engine that loses and delays orders and answers as real engines do.

  Scenario: orders without an answer, late orders and restarts
    An engine that is ordered to load more adapters than it has slots crashes with all its requests. This happens when an
    order without an answer is taken for one that the engine has not carried out: its answer may be lost, or the engine
    may carry it out seconds later.
    Then for any load requests and any lost or late orders the engine never loads more adapters than it has slots
    And for any load requests and any lost or late orders at most four adapters are in transit

  Scenario: an adapter that is reserved for a request
    A request is refused by an engine whose adapter was reported as loaded. This happens when the least popular adapter is
    unloaded although it is reserved, between the answer to the load request and the request itself.
    Given an engine with 2 adapter slots, both reserved
    When a third adapter is requested
    Then nothing is unloaded before the reservations end

  Scenario: adapters with running requests
    An adapter refuses new requests for seconds although it is loaded. This happens when its unload is ordered while
    requests run on it.
    Given an engine with 2 adapter slots, both in use
    Then a third adapter is answered with "occupied" when its request may not wait

  Scenario: adapters whose callers have left
    The weight store is busy with adapters that no request waits for, while other callers wait. This happens when an
    adapter stays in the queue after its callers have left.
    Given 20 adapters whose callers have left
    When another adapter is requested
    Then it is the next one loaded

  Scenario: an overloaded weight store
    Callers wait for rare adapters while an adapter that many requests wait for is not loaded. This happens when loads
    are ordered by age alone. The store serves 8 loads at once; 60 requests arrive per second, and one in five of them is
    for the same adapter.
    Then the adapter that most requests wait for is loaded among the first four

  Scenario: a new version while requests run on the old one
    An adapter refuses requests for as long as its longest stream runs. This happens when the load of a new version is
    ordered at once: the engine waits for the running requests and starts no new ones meanwhile.
    Given an engine whose adapter is in use in version 1
    When version 2 of it is requested
    Then no load is ordered before its requests have ended

  Scenario: loads that take longer than expected
    One order in twelve is refused, and after each refusal the engine loads nothing for 100 ms. This happens when a late
    load's order is sent again and the holder counts the repeat, which the engine does not count.
    Then of the orders of 60 load requests for adapters whose loads take 400 ms none is refused

  Scenario: a load whose answers are all lost
    An engine has one adapter slot less until some other fault occurs, and its holder is busy without any effect. This happens when
    the engine accepts an order, no answer to it or its repeats arrives, a report shows the adapter as loading, and the time
    of the order is unknown: the pause until the engine is asked about the load again is then infinite.
    Given an engine that accepts the load order for an adapter, with all its answers lost
    When a report shows the adapter as loading
    Then the adapter is reserved within 300 ms of being loaded
    And the load's time was recorded as less than 3 s
