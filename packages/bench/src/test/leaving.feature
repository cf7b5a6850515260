Feature: a leaving process gets no new work, and running work is finished

  Scenario Outline: an upstream leaves under load
    Symptom: callers get errors whenever a host is replaced.
    Events: completions and bookings are sent while <event>.
    Cause: requests are sent to a leaving process, or are cut off by it.
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests are sent while <event>
    Then every request is answered whole
    And upstream "m0" gets no new work after that

    Examples:
      | event                              |
      | the sidecar of "m0" shuts down     |
      | the operators drain "m0"           |
      | the host list shows "m0" leaving   |

  Scenario: a drain that ends
    Symptom: a host that was drained for a repair never gets work again.
    Events: the operators drain an upstream and undrain it.
    Cause: the sidecar reports that it serves, but its queue still refuses requests.
    Given a system with 1 booking service and 1 entry
    When the operators drain "b0" and undrain it
    And a booking "after" is sent
    Then the booking is confirmed

  Scenario: an entry shuts down under load
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests are sent while an entry shuts down
    Then every request is answered whole

  Scenario: an entry and a sidecar shut down at once
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests are sent while an entry and the sidecar of "m0" shut down
    Then every request is answered whole

  Scenario: the host list lags
    Symptom: requests are sent to a host that is gone.
    Events: a sidecar leaves; the host list shows it as live long afterwards.
    Cause: the host list takes precedence over the sidecar's own state.
    Given a whole system with 2 engines, 2 booking services and 2 entries
    And the host list lags
    When requests are sent while the sidecar of "m0" shuts down
    Then every request is answered whole
    And upstream "m0" gets no new work after that

  Scenario: an entry that does not know of a drain
    Symptom: a drained host keeps getting requests from one zone.
    Events: the operators drain an upstream; one entry lags and sends requests to it.
    Cause: only entries, not the sidecar itself, check for the drain.
    Given a system with 2 booking services and 1 entry
    When a sidecar is drained without its entry's knowledge and bookings are sent
    Then every booking is confirmed and none runs at the drained service
