Feature: a booking runs at most once, and "not run" is true

  Scenario: a booking whose reply is lost
    Symptom: the nurse is told to try again and two chairs are booked.
    Events: the sidecar passes the booking on, the service books, the connection breaks before the reply.
    Cause: the entry took a broken connection for a request that was not run.
    Given a system with 2 booking services and 1 entry
    And the booking services lose their next 1 replies
    When a booking "one" is sent
    Then the caller is told "may-have-run" with status 502 and code "upstream-lost"
    And booking "one" ran 1 time

  Scenario: a repeat by key after a lost reply
    Given a system with 2 booking services and 2 entries
    And the booking services lose their next 1 replies
    When a booking "one" is sent with its key through entry 0
    And a booking "one" is sent with its key through entry 1
    Then the caller is told "may-have-run" with status 502 and code "first-attempt-unknown"
    And booking "one" ran 1 time

  Scenario: a repeat by key through another entry gets the first answer
    Given a system with 2 booking services and 2 entries
    When a booking "one" is sent with its key through entry 0
    And a booking "one" is sent with its key through entry 1
    Then the last answer is the first one again
    And booking "one" ran 1 time

  Scenario: repeats by key while the first attempt runs
    Symptom: an impatient parent books twice.
    Events: the same key comes three times at once through two entries.
    Cause: the second came before the first was recorded.
    Given a system with 2 booking services and 2 entries
    And the booking services take 300 ms
    When a booking "one" is sent 3 times at once with its key
    Then every answer is a booking or says that it may have run
    And booking "one" ran 1 time

  Scenario: the home sidecar goes and a repeat meets another one
    Symptom: a chair is booked again after a host was replaced.
    Events: a booking runs through one sidecar, that sidecar dies, the caller repeats.
    Cause: what had run was known only to the process that died.
    Given a system with 2 booking services and 2 entries
    When a booking "one" is sent with its key through entry 0
    And the sidecar that ran it dies
    And a booking "one" is sent with its key through entry 1
    Then the last answer is the first one again
    And booking "one" ran 1 time

  Scenario: the sidecar restarts while the booking runs
    Symptom: a caller is told "not run" and the chair is gone.
    Events: the sidecar dies after it passed the booking on; a new one welcomes the entry.
    Cause: a new sidecar that knows nothing was taken for one that ran nothing.
    Given a system with 1 booking service and 1 entry
    And the booking services take 400 ms
    When a booking "one" is under way and its sidecar dies
    Then the caller is told "may-have-run" with status 502 and code "channel-lost"
    And booking "one" ran 1 time

  Scenario: the channel breaks while the booking runs
    Given a system with 1 booking service and 1 entry
    And the booking services take 300 ms
    When a booking "one" is under way and its channel breaks
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: the deadline passes while the booking runs
    Given a system with 1 booking service and 1 entry
    And the booking services take 400 ms
    When a booking "one" is sent with 100 ms to spare
    Then the caller is told "may-have-run" with status 504 and code "deadline"
    And booking "one" has run once in the end

  Scenario: the deadline passes while the booking waits
    Symptom: a caller gives up, books elsewhere, and the first booking runs as well.
    Events: all places are taken, the deadline passes in the queue, a place becomes free.
    Cause: the entry's own clock decided instead of the sidecar's answer.
    Given a system with 1 booking service and 1 entry
    And the booking services take 600 ms
    When all places are taken by other bookings
    And a booking "late" is sent with 150 ms to spare
    Then the last answer says that it did not run
    And booking "late" has not run when all others have

  Scenario: the key-value service is down
    Symptom: bookings are doubled during an outage, or lost without a word.
    Events: the service that records keys can't be reached.
    Cause: the key was taken as free because nothing said otherwise.
    Given a system with 2 booking services and 1 entry
    And the key-value service is down
    When a booking "keyed" is sent with its key through entry 0
    Then the caller is told "not-run" with status 503 and code "claims-unavailable"
    And booking "keyed" ran 0 times
    When a booking "plain" is sent
    Then the booking is confirmed
    When the key-value service is back
    And a booking "keyed" is repeated when its answer says
    Then the booking is confirmed
    And booking "keyed" ran 1 time

  Scenario: the key-value service swallows calls
    Symptom: every booking takes seconds longer during an outage.
    Events: the service takes connections and never answers.
    Cause: each call waited for its own timeout.
    Given a system with 2 booking services and 1 entry
    And the key-value service swallows calls
    When a booking "one" is sent with its key through entry 0
    And a booking "two" is sent with its key through entry 0
    And a booking "three" is sent with its key through entry 0
    Then the caller is told "not-run" with status 503 and code "claims-unavailable"
    And the answer came within 400 ms

  Scenario: the key-value service loses replies to writes
    Given a system with 2 booking services and 1 entry
    And the key-value service loses the next 3 replies to writes
    When a booking "one" is sent with its key through entry 0
    And a booking "one" is sent with its key through entry 0
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: the key-value service is slow
    Given a system with 2 booking services and 1 entry
    And the key-value service takes 200 ms
    When a booking "one" is sent with its key through entry 0
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: an entry dies and the caller repeats through another
    Given a system with 2 booking services and 2 entries
    And the booking services take 300 ms
    When a booking "one" is under way and its entry dies
    And a booking "one" is sent with its key through entry 1
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: a key used for another call
    Given a system with 1 booking service and 1 entry
    When a booking "one" is sent with its key through entry 0
    And a booking "two" is sent with the key "one"
    Then the caller is told "not-run" with status 422 and code "key-in-use"
    And booking "two" ran 0 times

  Scenario: sidecars that have ended
    Guards against sidecars that go on calling the key-value service after their end.
    Given a system with 2 booking services and 1 entry
    And the key-value service is down
    When a booking "one" is sent with its key through entry 0
    And all entries and sidecars end
    And the key-value service is back
    Then it gets no call for 1500 ms
