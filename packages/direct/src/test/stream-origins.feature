Feature: where streams began

  Scenario: any order of streams, lost messages and ended entries
    Guards against a stream that goes on at a version that did not begin it, and against streams that can't be resumed although an entry that
    keeps their origin runs.
    Then over 300 random orders of events an origin that is found is the right one, and it is found while its entry or an entry that received it runs

  Scenario: peers that do not know the query
    Guards against an origin that counts as any version because entries of an earlier build answer with an error.
    Given the origins of three entries, two of which reject every call of their peers
    When a stream begins at the first entry
    Then the other entries do not find its origin

  Scenario: streams whose callers can't come back
    Guards against memory that grows with the number of streams.
    Given the origins of one entry
    When 50000 streams begin there within a second
    Then it keeps at most 20000 of them, and none once their callers' time is over

  Scenario Outline: a connection and the report of its upstream
    Guards against a software version taken from the record of an earlier incarnation.
    Given a connection opened at 100 to an upstream whose record names the start 7
    When a report requested at <requested> names the start <start>
    Then the connection is <verdict>

    Examples:
      | requested | start   | verdict       |
      | 101       | 7       | confirmed     |
      | 99        | 7       | not confirmed |
      | 101       | 8       | not confirmed |
      | 101       | nothing | not confirmed |

  Scenario: any order of streams, ended entries and failures of the store
    Guards against a stream that goes on at a version that did not begin it after all entries have ended, and against records that are lost
    although the store has acknowledged them.
    Then over 300 random orders of events an origin that is found in the store is the right one, and each that was written is found

  Scenario: one software version
    Guards against writes to the store for each stream on days without a release.
    Given the records of one entry, and one software version
    When 100 streams begin there
    Then the store has no record
    When a second software version appears
    Then the store has the origins of 100 streams in 1 batch

  Scenario: streams that are delivered at once
    Guards against records of streams that no caller resumes, and a store that grows with the number of streams.
    Given the records of one entry, and two software versions
    When 100 streams begin there, and all but 10 are delivered within 100 ms
    Then the store has the origins of 10 streams in 1 batch
    When they are delivered, and 1 more stream begins
    Then the store has the origins of 1 stream in 1 batch

  Scenario: a stream that is resumed while its origin is written
    Guards against a record that is removed too early: the time of the first attempt's caller is over, the one of the second is not.
    Given the records of one entry, and two software versions
    When a stream with 1 s begins there, and is resumed there for 12 s while the store carries out the write
    And 1 stream begins there 3 s later
    Then the store has the origins of 2 streams in 2 batches

  Scenario: an outage of the store
    Guards against calls without end to a store that is away, against memory that grows meanwhile, and against streams that are not in the store
    after its return.
    Given the records of one entry, and two software versions
    When the store is away for 60 s, and 1000 streams begin there in each second
    Then at most 20000 streams wait, and at most 65 calls were made
    When the store returns
    Then the store has the origins of 20000 streams in 2 batches or more, of 200000 bytes at most

  Scenario: many entries
    Guards against entries that use up the store's rate of writes together.
    Given the records of one entry of 100, and two software versions
    When a stream begins there every 50 ms for 20 s
    Then at most 12 calls were made

  Scenario Outline: values that can't be read
    Guards against an entry that ends, or finds an origin that nobody wrote, because of a value in the store.
    Given the records of one entry, and two software versions
    When the store has the value <value>
    Then no origin is known

    Examples:
      | value                                                                              |
      | no JSON                                                                            |
      | null                                                                               |
      | 7                                                                                  |
      | {"origins":{}}                                                                     |
      | {"origins":[null]}                                                                 |
      | {"origins":[{"service":"models","software":"v1","lasts":-1,"requests":["r1"]}]}    |
      | {"origins":[{"service":"models","software":"v1","lasts":"9","requests":["r1"]}]}   |
      | {"origins":[{"service":"models","software":"v1","lasts":9,"requests":["r1",2]}]}   |
      | {"origins":[{"service":"models","software":null,"lasts":9,"requests":["r1"]}]}     |
      | {"origins":[{"service":"models","software":"v1","lasts":9,"requests":{"0":"r1"}}]} |

  Scenario: an entry of the build before
    Guards against an entry that takes a record of origins for an entry or a holder.
    Given a table of entries that does not know records of origins
    When the store has a record of origins
    Then the table has no entry and no holder
