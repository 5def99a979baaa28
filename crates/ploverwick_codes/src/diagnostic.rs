//! Numbered diagnostics for files that operators write: the table and the settings.

use std::fmt;

macro_rules! rules {
    ($($id:literal $variant:ident $summary:literal $remedy:literal;)*) => {
        /// A rule that a file can violate. `docs/DIAGNOSTICS.md` is generated from this table.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Rule {
            $(#[doc = $summary] $variant,)*
        }

        impl Rule {
            /// All rules in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the rule's stable identifier, such as `T003`.
            pub const fn id(self) -> &'static str {
                match self { $(Self::$variant => $id,)* }
            }

            /// Returns the rule's name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => stringify!($variant),)* }
            }

            /// Returns a one-sentence description of the violation.
            pub const fn summary(self) -> &'static str {
                match self { $(Self::$variant => $summary,)* }
            }

            /// Returns the recommended fix.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$variant => $remedy,)* }
            }
        }
    };
}

rules! {
    "T001" NotCsv "The file cannot be read as CSV." "Check quotes and the number of fields in the line.";
    "T002" NoNameColumn "The first column is not called name." "Make the first header cell `name`.";
    "T003" ColumnUnknown "A column has an unknown name." "Use name, version, group, weight, priority or limit, the last three with an optional selector.";
    "T004" ColumnTwice "Two columns are the same." "Remove one of the two columns.";
    "T005" SelectorMalformed "A column's selector cannot be read." "Write it as [hall HH:MM-HH:MM Zone]; each of hall, window and zone may be left out, but a zone needs a window.";
    "T006" ZoneUnknown "A selector names an unknown time zone." "Use an IANA name such as Africa/Tunis.";
    "T007" SubjectMalformed "A row's name is neither an adapter, nor `group:` with a name, nor `*`." "Use letters, digits, '.', '_' and '-'.";
    "T008" SubjectTwice "Two rows have the same name." "Merge the two rows.";
    "T009" WeightMalformed "A weight is not a number above 0 and up to 1000." "Write a number such as 2.5, or leave the cell empty.";
    "T010" PriorityMalformed "A priority is not a whole number from 0 to 9." "Write a whole number from 0 to 9; 9 runs first.";
    "T011" LimitMalformed "A limit is not a number of requests a second from 0 to 1000000." "Write a number such as 20, or leave the cell empty for no limit.";
    "T012" GroupMissing "A row names a group that no row declares." "Add a row `group:` with that name.";
    "T013" CellMisplaced "The cell does not belong in this kind of row." "Only rows of adapters have a version and a group.";
    "T014" VersionMalformed "A version is not a name." "Use letters, digits, '.', '_' and '-'.";
    "S001" NotToml "The file cannot be read as TOML." "Correct the syntax at the place shown.";
    "S002" KeyUnknown "A key is unknown." "Use the key named as nearest, or remove the line.";
    "S003" KeyMissing "A required key is missing." "Add the key; the example file shows it.";
    "S004" ValueMalformed "A value is of the wrong kind or cannot be read." "Write it as in the example file.";
    "S005" ValueOutOfRange "A value is outside the range that works." "Use a value inside the range given.";
    "S006" FileUnreadable "The file cannot be opened." "Check the path and its permissions.";
}

/// A violation of a rule in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The violated rule.
    pub rule: Rule,
    /// The line number, from 1; 0 if the finding concerns the whole file.
    pub line: u64,
    /// The column's header or the key's path; empty if the finding concerns the whole line.
    pub column: String,
    /// The offending text; empty if there is none.
    pub cell: String,
    /// Details beyond the rule's summary; may be empty.
    pub detail: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.rule.id(), self.rule.name())?;
        if self.line > 0 {
            write!(f, " at line {}", self.line)?;
        }
        if !self.column.is_empty() {
            write!(f, ", {}", self.column)?;
        }
        if !self.cell.is_empty() {
            write!(f, ", {:?}", self.cell)?;
        }
        write!(f, ": {}", self.rule.summary())?;
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        write!(f, " {}", self.rule.remedy())
    }
}
