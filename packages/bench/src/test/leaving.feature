Feature: leaving receives no new work and cuts nothing off

  Scenario Outline: an upstream leaves under load
    Symptom: callers get errors whenever a host is replaced.
    Events: requests of both kinds flow while <event>.
    Cause: work was sent to, or was cut off by, a process that was going away.
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests flow while <event>
    Then every request was answered whole
    And upstream "m0" got no new work after that

    Examples:
      | event                              |
      | the sidecar of "m0" shuts down     |
      | the operators drain "m0"           |
      | the host list shows "m0" leaving   |

  Scenario: a drain that ends
    Symptom: a host that was drained for a repair never gets work again.
    Events: the operators drain an upstream and undrain it.
    Cause: the sidecar showed itself as serving, and its queue went on refusing.
    Given a system with 1 booking service and 1 entry
    When the operators drain "b0" and undrain it
    And a booking "after" is sent
    Then the booking is confirmed

  Scenario: an entry shuts down under load
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests flow while an entry shuts down
    Then every request was answered whole

  Scenario: an entry and a sidecar shut down at once
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When requests flow while an entry and the sidecar of "m0" shut down
    Then every request was answered whole

  Scenario: the host list lags
    Symptom: work goes to a host that is gone.
    Events: a sidecar leaves; the host list shows it as live for long after.
    Cause: the list was believed over the sidecar's own word.
    Given a whole system with 2 engines, 2 booking services and 2 entries
    And the host list lags
    When requests flow while the sidecar of "m0" shuts down
    Then every request was answered whole
    And upstream "m0" got no new work after that

  Scenario: an entry that has not heard of a drain
    Symptom: a drained host keeps getting work from one zone.
    Events: the operators drain an upstream; one entry lags and sends to it.
    Cause: only entries kept work away from it.
    Given a system with 2 booking services and 1 entry
    When a sidecar is drained behind its entry's back and bookings are sent
    Then every booking is confirmed and none ran at the drained service
